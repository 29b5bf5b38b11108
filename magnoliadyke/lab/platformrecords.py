"""Configuration and node settings of a small deployment on the platform."""

from collections.abc import Sequence
from typing import Any

__all__ = [
    'CALLERS_PORT',
    'DIRECTORY_PORT',
    'PEER_PORTS',
    'READINESS_PORT',
    'SITE',
    'configuration',
    'node_settings',
    'route',
    'usual_routes',
]

SITE = 'site.example'
#: Ports of a node.
READINESS_PORT = 8140
DIRECTORY_PORT = 8143
CALLERS_PORT = 8144
CONTROL_PORT = 8146
METRICS_PORT = 9464
PEER_PORTS = (7660, 7675)


def route(
    name: str, prefix: str, kind: str, service: str | None, **fields: Any
) -> dict[str, Any]:
    """A route as the operator configures it.

    :param kind: 'safe', 'unsafe' or 'streaming'
    :param fields: replace or add to the defaults
    """
    values = {
        'name': name,
        'hostname': SITE,
        'path_prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout_ms': 2000,
        'target_latency_ms': 500,
        'priority': 0,
        'max_attempts': 2,
        'sticky': kind == 'streaming',
        'resumable': False,
        'gap_aim_ms': 150,
    }
    return values | fields


def usual_routes(**fields: Any) -> list[dict[str, Any]]:
    """Routes: safe, unsafe, a stream without retry, and a resumable stream.

    :param fields: of all of the routes
    """
    return [
        route('safe', '/safe/', 'safe', 'plain', **fields),
        route('unsafe', '/unsafe/', 'unsafe', 'plain', **fields),
        route(
            'once', '/once/', 'streaming', 'model', max_attempts=1, **fields
        ),
        route(
            'chat', '/chat/', 'streaming', 'model', resumable=True, **fields
        ),
    ]


def configuration(
    version: int,
    routes: Sequence[dict[str, Any]],
    workspaces: dict[str, Sequence[str]] | None = None,
    backups: bool = False,
    **limits: Any,
) -> dict[str, Any]:
    """A configuration as the operator writes it into the store.

    :param workspaces: API keys by name of the workspace; None if requests
        need no key
    :param backups: whether engines keep backups of streams
    :param limits: on callers' connections, where they differ from the
        defaults
    """
    tenants = {}
    if workspaces is not None:
        tenants['tenants'] = [
            {'name': name, 'api_keys': list(keys)}
            for name, keys in workspaces.items()
        ]
    engine = {
        'slots': 16,
        'kv_tokens': 1_000_000,
        'token_kv_bytes': 1000,
        'link_mbps': 100000.0,
        'kv_hold_s': 5.0,
        'stage_switch_s': 0.2,
    }
    if backups:
        engine['backups'] = True
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {'name': 'plain', 'health_path': '/health', 'max_conns': 100},
            {'name': 'model', 'max_conns': 100, 'engine': engine},
        ],
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 100_000,
            'header_timeout_ms': 1000,
            'idle_timeout_ms': 5000,
        }
        | limits,
        **tenants,
    }


def node_settings(
    name: str, ip: str, store: str, **fields: Any
) -> dict[str, Any]:
    """Settings of a node as the platform provides them.

    :param store: address of the store
    :param fields: replace or add to the defaults
    """
    values = {
        'name': name,
        'ip': ip,
        'failure_domain': 'z1',
        'callers': f'{ip}:{CALLERS_PORT}',
        'readiness': f'{ip}:{READINESS_PORT}',
        'directory': f'{ip}:{DIRECTORY_PORT}',
        'control': f'{ip}:{CONTROL_PORT}',
        'peer_ports': list(PEER_PORTS),
        'metrics_port': METRICS_PORT,
        'store': store,
        'min_lease_s': 0.5,
        'cores': 1.0,
        'memory_mb': 300,
        'link_mbps': 1000.0,
        'drain_s': 2.0,
        'configuration_s': 2.0,
        'stop_s': 8.0,
        'retry_ratio': 0.2,
        'retry_window_s': 10,
        'retry_extra': 56,
        'order_gap_s': 0.2,
        'directory_ttl_s': 5,
    }
    return values | fields
