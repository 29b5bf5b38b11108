"""Decoders of the store's configuration and endpoint entries."""

import re
from typing import Any

from magnoliadyke.core import autoscaler
from magnoliadyke.core import catalog
from magnoliadyke.core import routes
from magnoliadyke.core import workspaces
from magnoliadyke.gateway import fields

__all__ = [
    'CONFIGURATION_KEY',
    'ENDPOINT_PREFIX',
    'decode_configuration',
    'decode_endpoint',
]

CONFIGURATION_KEY = 'op/config'
ENDPOINT_PREFIX = 'servers/'

KINDS = {
    'safe': routes.Kind.SAFE,
    'unsafe': routes.Kind.UNSAFE,
    'streaming': routes.Kind.STREAM,
}
STAGES = {
    'prefill': catalog.Stage.PREFILL,
    'decode': catalog.Stage.DECODE,
}

STATE_READY = 'ready'
STATES = (STATE_READY, 'draining')
MAX_VERSION_CHARACTERS = 64
#: Valid endpoint names; a name is sent to its endpoint in a header.
ENDPOINT_ID = re.compile('[!-~]{1,200}')


def decode_configuration(
    value: bytes,
) -> routes.Configuration | catalog.UnusableRecord:
    """Decode the value of the configuration key."""
    try:
        return _configuration(fields.parse_object(value))
    except fields.BadField as error:
        return catalog.UnusableRecord(str(error))


def _configuration(found: dict[str, Any]) -> routes.Configuration:
    services = [
        _service(each) for each in fields.read_objects(found, 'services')
    ]
    limits = found.get('limits') or {}
    if not isinstance(limits, dict):
        raise fields.BadField(
            f'limits: expected an object, got {type(limits).__name__}'
        )
    return routes.Configuration(
        fields.read_integer(found, 'version', 0),
        tuple(_route(each) for each in fields.read_objects(found, 'routes')),
        {each.name: each for each in services},
        _limits(limits),
        _workspaces(found),
    )


def _workspaces(found: dict[str, Any]) -> workspaces.Workspaces | None:
    """Return the workspaces, None if the configuration has no such list."""
    if found.get('tenants') is None:
        return None
    return workspaces.Workspaces(
        (_workspace(each), _keys(each))
        for each in fields.read_objects(found, 'tenants')
    )


def _workspace(found: dict[str, Any]) -> workspaces.Workspace:
    priority = None
    if found.get('priority') is not None:
        priority = fields.read_integer(found, 'priority', 0)
    return workspaces.Workspace(fields.read_string(found, 'name'), priority)


def _keys(found: dict[str, Any]) -> list[bytes]:
    keys = found.get('api_keys') or []
    if not isinstance(keys, list):
        raise fields.BadField(
            f'api_keys: expected a list, got {type(keys).__name__}'
        )
    if not all(isinstance(key, str) for key in keys):
        raise fields.BadField(
            'api_keys: expected strings, got an element of another type'
        )
    return [key.encode('utf-8', 'surrogatepass') for key in keys if key]


def _route(found: dict[str, Any]) -> routes.Route:
    targets = tuple(
        routes.Target(
            fields.read_string(each, 'service'),
            fields.read_number(each, 'weight', 0.0),
        )
        for each in fields.read_objects(found, 'traffic_split')
    )
    if not targets:
        targets = (routes.Target(fields.read_string(found, 'service'), 1.0),)
    if not any(target.weight for target in targets):
        raise fields.BadField(
            'traffic_split: expected a weight above 0, all weights are 0'
        )
    timeout_s = fields.read_number(found, 'timeout_ms', 1) / 1000
    objective_ms = fields.read_number(found, 'target_latency_ms', 0, 0)
    pause_ms = fields.read_number(found, 'gap_aim_ms', 0, 0)
    return routes.Route(
        name=fields.read_string(found, 'name'),
        host=fields.read_string(found, 'hostname'),
        prefix=fields.read_string(found, 'path_prefix'),
        # An unknown kind is treated as UNSAFE, the most restrictive one.
        kind=KINDS.get(fields.read_string(found, 'kind'), routes.Kind.UNSAFE),
        targets=targets,
        timeout_s=timeout_s,
        objective_s=objective_ms / 1000 if objective_ms else timeout_s,
        pause_s=pause_ms / 1000 if pause_ms else timeout_s,
        priority=fields.read_integer(found, 'priority', 0, 0),
        max_attempts=max(1, fields.read_integer(found, 'max_attempts', 0, 1)),
        # Despite its name, the field does not mean sticky sessions: it marks
        # routes whose requests carry the headers on their prompt.
        carries_prompt=fields.read_bool(found, 'sticky'),
        resumable=fields.read_bool(found, 'resumable'),
        public=fields.read_bool(found, 'public'),
    )


def _service(found: dict[str, Any]) -> routes.Service:
    engine = found.get('engine') or None
    if engine is not None and not isinstance(engine, dict):
        raise fields.BadField(
            f'engine: expected an object, got {type(engine).__name__}'
        )
    return routes.Service(
        fields.read_string(found, 'name'),
        fields.read_string(found, 'health_path', ''),
        fields.read_integer(found, 'max_conns', 0, 0),
        _engine(engine) if engine else None,
        _scaling(found.get('autoscale')),
    )


def _scaling(found: Any) -> autoscaler.ScalingLimits | None:
    if not found:
        return None
    if not isinstance(found, dict):
        raise fields.BadField(
            f'autoscale: expected an object, got {type(found).__name__}'
        )
    prices = found.get('zone_prices') or {}
    if not isinstance(prices, dict):
        raise fields.BadField(
            f'zone_prices: expected an object, got {type(prices).__name__}'
        )
    return autoscaler.ScalingLimits(
        min_endpoints=fields.read_integer(found, 'min_replicas', 0),
        max_endpoints=fields.read_integer(found, 'max_replicas', 0),
        boot_s=fields.read_number(found, 'boot_s', 0, 0),
        reclaimable_price=fields.read_number(found, 'spot_price', 0, 1),
        prices={zone: fields.read_number(prices, zone, 0) for zone in prices},
    )


def _engine(found: dict[str, Any]) -> routes.EngineTraits:
    return routes.EngineTraits(
        slots=fields.read_integer(found, 'slots', 1),
        cache_tokens=fields.read_number(found, 'kv_tokens', 1),
        bytes_per_token=fields.read_number(found, 'token_kv_bytes', 0, 0.0),
        link_bits_s=fields.read_number(found, 'link_mbps', 0, 0.0) * 1e6,
        handle_ttl_s=fields.read_number(found, 'kv_hold_s', 0, 1.0),
        stage_change_s=fields.read_number(found, 'stage_switch_s', 0, 1.0),
        backups=fields.read_bool(found, 'backups'),
    )


def _limits(found: dict[str, Any]) -> routes.CallerLimits:
    default = routes.CallerLimits()
    return routes.CallerLimits(
        fields.read_integer(found, 'max_header_bytes', 0, 0)
        or default.header_bytes,
        fields.read_integer(found, 'max_body_bytes', 0, 0)
        or default.body_bytes,
        fields.read_number(found, 'header_timeout_ms', 0, 0) / 1000
        or default.header_timeout_s,
        fields.read_number(found, 'idle_timeout_ms', 0, 0) / 1000
        or default.idle_timeout_s,
    )


def decode_endpoint(
    key: str, value: bytes
) -> catalog.Endpoint | catalog.UnusableRecord:
    """Decode an endpoint's entry, which any client may have written.

    :param key: key of the entry in the store
    """
    name = key.removeprefix(ENDPOINT_PREFIX)
    if not ENDPOINT_ID.fullmatch(name):
        return catalog.UnusableRecord(
            f'key {key!r}: expected 1 to 200 printable ASCII characters after '
            f'{ENDPOINT_PREFIX!r}'
        )
    try:
        return _endpoint(name, fields.parse_object(value))
    except fields.BadField as error:
        return catalog.UnusableRecord(str(error))


def _endpoint(name: str, found: dict[str, Any]) -> catalog.Endpoint:
    state = fields.read_string(found, 'state')
    if state not in STATES:
        raise fields.BadField(
            f'state: expected one of {STATES}, got {state!r}'
        )
    stage = fields.read_string(found, 'stage', '')
    if stage and stage not in STAGES:
        raise fields.BadField(
            f'stage: expected one of {tuple(STAGES)}, got {stage!r}'
        )
    started_ms = fields.read_integer(found, 'born', 0, 0)
    return catalog.Endpoint(
        # The process's state is stored under this id.  A process that
        # restarts under the same name has lost its KV cache and its requests,
        # so it gets another id.
        id=f'{name}~{started_ms:x}' if started_ms else name,
        service=fields.read_string(found, 'service'),
        address=fields.read_address(found, 'address'),
        failure_domain=fields.read_string(found, 'zone'),
        slots=fields.read_integer(found, 'slots', 1),
        leaving=state != STATE_READY,
        stage=STAGES.get(stage, catalog.Stage.NONE),
        published_name=name if started_ms else '',
        started_ms=started_ms,
        reclaimable=fields.read_bool(found, 'spot'),
        version=_version(found.get('version')),
    )


def _version(found: Any) -> str:
    """Return the version of an endpoint's software, empty if unusable.

    An endpoint whose version can't be read is usable all the same.
    """
    if isinstance(found, str) and len(found) <= MAX_VERSION_CHARACTERS:
        return found
    return ''
