"""JSON schema of a settings file, with the remedy for each violation."""

from magnoliadyke.core import table

__all__ = [
    'DEFAULT_LIMITS',
    'DEFAULT_MODEL_BYTES',
    'DEFAULT_TIMING',
    'SCHEMA',
    'remedy_for',
]

NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
HASH_PATTERN = '^sha256:[0-9a-f]{64}$'

DEFAULT_LIMITS = {
    'body_bytes': 4 * 1024 * 1024,
    'read_s': 20.0,
    'write_stall_s': 20.0,
    'idle_s': 60.0,
    'connections': 2000,
    'answer_bytes': 64 * 1024 * 1024,
    'answer_keep_s': 600.0,
}

DEFAULT_TIMING = {
    'stop_s': 30.0,
    'hosts_keep_s': 10.0,
    'stale_after_s': 4.0,
    'lease_ttl_s': 6.0,
}

DEFAULT_MODEL_BYTES = 16e9

_NAME = {'type': 'string', 'pattern': NAME_PATTERN}
_PORT = {'type': 'integer', 'minimum': 1, 'maximum': 65535}
_SECONDS = {'type': 'number', 'exclusiveMinimum': 0, 'maximum': 86400}
_COUNT = {'type': 'integer', 'minimum': 1}
_HASH = {'type': 'string', 'pattern': HASH_PATTERN}
# settings_checks validates addresses: its messages say more than a failed
# pattern could.
_ADDRESS = {'type': 'string'}


def _record(required: dict, optional: dict | None = None) -> dict:
    return {
        'type': 'object',
        'required': list(required),
        'properties': required | (optional or {}),
        'additionalProperties': False,
    }


def _list_of(items: dict) -> dict:
    return {'type': 'array', 'minItems': 1, 'items': items}


_HOST = _record(
    {
        'name': _NAME,
        'failure_domain': _NAME,
        'address': _ADDRESS,
        'caller_port': _PORT,
        'admin_address': _ADDRESS,
        'admin_port': _PORT,
        'peer_port': _PORT,
    }
)

_SERVICE_ENDPOINT = {
    'name': _NAME,
    'address': _ADDRESS,
    'failure_domain': _NAME,
    'checks_fencing': {'type': 'boolean'},
}

_MODEL_ENDPOINT = _SERVICE_ENDPOINT | {
    'role': {'enum': ['prefill', 'decode']},
}

_ROUTE = _record(
    {
        'method': {'enum': ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']},
        'path': {'type': 'string', 'pattern': '^/[^?#]*$'},
        'repeatable': {'type': 'boolean'},
    }
)

_MODEL_POOL = _record(
    {
        'name': _NAME,
        'kind': {'const': 'model'},
        'model': _NAME,
        'endpoints': _list_of(_record(_MODEL_ENDPOINT)),
    },
    {'model_bytes': {'type': 'number', 'exclusiveMinimum': 0}},
)

_SERVICE_POOL = _record(
    {
        'name': _NAME,
        'kind': {'const': 'service'},
        'routes': _list_of(_ROUTE),
        'endpoints': _list_of(_record(_SERVICE_ENDPOINT)),
    }
)

# With if/then/else a violation is reported inside the branch that the pool's
# kind selects; oneOf would only report that no branch matches.
_POOL = {
    'type': 'object',
    'required': ['kind'],
    'properties': {'kind': {'enum': ['model', 'service']}},
    'if': {
        'required': ['kind'],
        'properties': {'kind': {'const': 'service'}},
    },
    'then': _SERVICE_POOL,
    'else': {
        'if': {
            'required': ['kind'],
            'properties': {'kind': {'const': 'model'}},
        },
        'then': _MODEL_POOL,
    },
}

_LIMITS = _record(
    {},
    {
        'body_bytes': _COUNT,
        'read_s': _SECONDS,
        'write_stall_s': _SECONDS,
        'idle_s': _SECONDS,
        'connections': _COUNT,
        'answer_bytes': _COUNT,
        'answer_keep_s': _SECONDS,
    },
)

_TIMING = _record(
    {},
    {
        'stop_s': _SECONDS,
        'hosts_keep_s': _SECONDS,
        'stale_after_s': _SECONDS,
        'lease_ttl_s': _SECONDS,
    },
)

# The values of cells are checked by core.table, in settings_checks.
_ROWS = {
    'type': 'object',
    'propertyNames': {'pattern': NAME_PATTERN},
    'additionalProperties': {'type': 'object'},
}

_INITIAL_TABLE = _record({}, dict.fromkeys(table.SHEETS, _ROWS))

SCHEMA = {
    '$schema': 'https://json-schema.org/draft/2020-12/schema',
} | _record(
    {
        'deployment': _NAME,
        'failure_domains': _list_of(_NAME),
        'hosts': _list_of(_HOST),
        'keyvalue': _record(
            {
                'address': _ADDRESS,
                'prefix': {'type': 'string', 'pattern': '^[a-z0-9._-]+/$'},
            }
        ),
        'weight_store': _record({'address': _ADDRESS}),
        'host_list': _record({'address': _ADDRESS}),
        'pools': _list_of(_POOL),
        'admin_token': _HASH,
    },
    {
        'limits': _LIMITS,
        'timing': _TIMING,
        'logging': _record(
            {},
            {'level': {'enum': ['DEBUG', 'INFO', 'WARNING', 'ERROR']}},
        ),
        'metrics': _record(
            {},
            {'otlp_endpoint': {'type': 'string'}, 'export_s': _SECONDS},
        ),
        'initial_table': _INITIAL_TABLE,
    },
)

_PATTERN_REMEDIES = {
    NAME_PATTERN: (
        'use 1-63 lower-case letters, digits, dots, dashes or underscores, '
        'with a letter or digit first'
    ),
    HASH_PATTERN: (
        "write 'sha256:' and the 64 hex digits that "
        "'printf %s TOKEN | sha256sum' prints"
    ),
    '^/[^?#]*$': "start the path with '/' and leave out query and fragment",
    '^[a-z0-9._-]+/$': (
        'use lower-case letters, digits, dots, dashes or underscores, '
        "and end with one '/'"
    ),
}


def remedy_for(kind: str, wanted: object) -> str:
    """Return how to correct a violation of the schema.

    :param kind: the schema keyword that failed, such as ``type``.
    :param wanted: value of the keyword in the schema; for
        ``additionalProperties`` the names of the allowed keys.
    """
    match kind:
        case 'required':
            return 'add it'
        case 'additionalProperties':
            allowed = ', '.join(wanted)
            return f'remove it or use one of the keys {allowed}'
        case 'type':
            return f'write a JSON {wanted}'
        case 'enum':
            return 'use one of ' + ', '.join(str(item) for item in wanted)
        case 'const':
            return f'write {wanted!r} in its place'
        case 'minItems':
            return f'list at least {wanted} item(s)'
        case 'minimum':
            return f'write a number of at least {wanted}'
        case 'maximum':
            return f'write a number of at most {wanted}'
        case 'exclusiveMinimum':
            return f'write a number greater than {wanted}'
        case 'pattern':
            return _PATTERN_REMEDIES.get(
                wanted, f'write text that matches {wanted}'
            )
    return f'satisfy {kind}: {wanted}'
