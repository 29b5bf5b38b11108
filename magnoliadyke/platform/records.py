"""The operator's configuration and the endpoints' entries, decoded."""

import json
from typing import Any

from magnoliadyke.core import catalog
from magnoliadyke.core import routes

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


def decode_configuration(value: bytes) -> routes.Configuration:
    """Decode the newest configuration.

    :raises ValueError, KeyError: it is not in the form expected
    """
    fields = json.loads(value)
    return routes.Configuration(
        fields['version'],
        tuple(_route(each) for each in fields['routes']),
        {each['name']: _service(each) for each in fields['services']},
        _limits(fields.get('limits') or {}),
    )


def _route(fields: dict[str, Any]) -> routes.Route:
    split = fields.get('traffic_split') or ()
    targets = tuple(
        routes.Target(each['service'], float(each['weight'])) for each in split
    )
    if not targets:
        targets = (routes.Target(fields['service'], 1.0),)
    timeout_s = fields['timeout_ms'] / 1000
    objective_ms = fields.get('target_latency_ms')
    pause_ms = fields.get('gap_aim_ms')
    return routes.Route(
        name=fields['name'],
        host=fields['hostname'],
        prefix=fields['path_prefix'],
        # A kind that is not known is handled as the strictest one.
        kind=KINDS.get(fields['kind'], routes.Kind.UNSAFE),
        targets=targets,
        timeout_s=timeout_s,
        objective_s=objective_ms / 1000 if objective_ms else timeout_s,
        pause_s=pause_ms / 1000 if pause_ms else timeout_s,
        priority=fields.get('priority', 0),
        max_attempts=max(1, fields.get('max_attempts', 1)),
        # The field's name speaks of sessions; what it marks is requests
        # that come with the headers on their prompt.
        carries_prompt=bool(fields.get('sticky')),
        resumable=bool(fields.get('resumable')),
    )


def _service(fields: dict[str, Any]) -> routes.Service:
    engine = fields.get('engine')
    return routes.Service(
        fields['name'],
        fields.get('health_path', ''),
        fields.get('max_conns', 0),
        _engine(engine) if engine else None,
    )


def _engine(fields: dict[str, Any]) -> routes.EngineTraits:
    return routes.EngineTraits(
        slots=fields['slots'],
        cache_tokens=fields['kv_tokens'],
        bytes_per_token=fields.get('token_kv_bytes', 0.0),
        link_bits_s=fields.get('link_mbps', 0.0) * 1e6,
        handle_s=fields.get('kv_hold_s', 1.0),
        stage_change_s=fields.get('stage_switch_s', 1.0),
    )


def _limits(fields: dict[str, Any]) -> routes.CallerLimits:
    default = routes.CallerLimits()
    return routes.CallerLimits(
        fields.get('max_header_bytes') or default.header_bytes,
        fields.get('max_body_bytes') or default.body_bytes,
        (fields.get('header_timeout_ms') or default.header_s * 1000) / 1000,
        (fields.get('idle_timeout_ms') or default.idle_s * 1000) / 1000,
    )


def decode_endpoint(key: str, value: bytes) -> catalog.Endpoint:
    """Decode an endpoint's own entry.

    :raises ValueError, KeyError: it is not in the form expected
    """
    fields = json.loads(value)
    return catalog.Endpoint(
        id=key.removeprefix(ENDPOINT_PREFIX),
        service=fields['service'],
        address=fields['address'],
        failure_domain=fields.get('zone', ''),
        slots=fields.get('slots', 1),
        leaving=fields.get('state') != 'ready',
        stage=STAGES.get(fields.get('stage'), catalog.Stage.NONE),
    )
