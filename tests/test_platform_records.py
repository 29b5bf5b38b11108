"""The operator's configuration and the endpoints' entries."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from magnoliadyke.core import catalog
from magnoliadyke.core import routes
from magnoliadyke import errors
from magnoliadyke.platform import records
from magnoliadyke.platform import settings
from tests import gatewayworld


def decoded(**fields):
    value = gatewayworld.configuration(**fields)
    return records.decode_configuration(json.dumps(value).encode())


def test_configuration():
    made = decoded(version=7)
    assert made.version == 7
    chat = made.match('site.example', '/chat/x')
    assert chat.kind is routes.Kind.STREAM
    assert (chat.timeout_s, chat.objective_s) == (2.0, 0.5)
    assert chat.repeatable and chat.carries_prompt
    assert not made.match('site.example', '/once/x').repeatable
    assert made.services['model'].engine.slots == 16
    assert made.services['plain'].engine is None
    assert made.limits.idle_timeout_s == 5.0


def test_unknown_kind_is_the_strictest():
    odd = gatewayworld.route('odd', '/odd/', 'later', 'plain')
    made = decoded(routes=[odd])
    assert made.match('site.example', '/odd/x').kind is routes.Kind.UNSAFE


def test_split():
    split = gatewayworld.route('s', '/s/', 'safe', None)
    split['traffic_split'] = [
        {'service': 'a', 'weight': 90},
        {'service': 'b', 'weight': 10},
    ]
    made = decoded(routes=[split]).match('site.example', '/s/x')
    assert made.targets == (
        routes.Target('a', 90.0),
        routes.Target('b', 10.0),
    )


def test_longest_prefix_wins():
    made = decoded(
        routes=[
            gatewayworld.route('short', '/a/', 'safe', 'plain'),
            gatewayworld.route('long', '/a/b/', 'safe', 'plain'),
            gatewayworld.route('root', '/', 'safe', 'plain'),
        ]
    )
    assert made.match('site.example', '/a/b/c').name == 'long'
    assert made.match('site.example', '/a/bc').name == 'short'
    assert made.match('site.example', '/x').name == 'root'
    assert made.match('other.example', '/a/x') is None


def test_endpoint():
    made = records.decode_endpoint(
        'servers/i-1',
        json.dumps(
            {
                'service': 's',
                'address': '1.2.3.4:5',
                'zone': 'z',
                'slots': 6,
                'state': 'draining',
                'stage': 'decode',
            }
        ).encode(),
    )
    assert made == catalog.Endpoint(
        'i-1', 's', '1.2.3.4:5', 'z', 6, True, catalog.Stage.DECODE
    )


def test_catalog_keeps_the_newest_configuration():
    known = catalog.Catalog()
    assert known.configure(decoded(version=5))
    assert not known.configure(decoded(version=4))
    assert known.configuration.version == 5


def test_catalog_names_the_endpoints_that_are_gone():
    known = catalog.Catalog()
    plain = catalog.Endpoint(
        'a', 's', '1:1', 'z', 1, False, catalog.Stage.NONE
    )
    known.put(plain)
    known.put(plain._replace(id='b', leaving=True))
    assert known.usable('s') == [plain]
    assert [e.id for e in known.replace([plain._replace(id='b')])] == ['a']
    assert list(known.endpoints) == ['b']


SETTINGS = {
    'name': 'n',
    'ip': '127.0.0.1',
    'failure_domain': 'z',
    'callers': '127.0.0.1:1',
    'readiness': '127.0.0.1:2',
    'directory': '127.0.0.1:3',
    'control': '127.0.0.1:4',
    'peer_ports': [5, 9],
    'metrics_port': 10,
    'store': '127.0.0.1:6',
    'min_lease_s': 1,
    'cores': 1,
    'memory_mb': 300,
    'link_mbps': 10,
    'drain_s': 2,
    'configuration_s': 2,
    'stop_s': 8,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_extra': 56,
    'order_gap_s': 3,
    'directory_ttl_s': 5,
}


def test_settings():
    assert settings.parse(SETTINGS).peer_ports == (5, 9)


def test_all_problems_of_the_settings_are_listed():
    broken = SETTINGS | {'store': 'nowhere', 'peer_ports': [5, 5]}
    del broken['name']
    with pytest.raises(errors.SettingsError) as raised:
        settings.parse(broken)
    assert {p.path for p in raised.value.problems} == {
        'name',
        'store',
        'peer_ports',
    }


def test_settings_file(tmp_path, monkeypatch):
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(settings.VARIABLE, str(path))
    assert settings.load().name == 'n'
    path.write_text('{')
    with pytest.raises(errors.SettingsError):
        settings.load()
    monkeypatch.delenv(settings.VARIABLE)
    with pytest.raises(errors.SettingsError):
        settings.load()


# Records that somebody else wrote.

ENTRY = {
    'service': 's',
    'address': '1.2.3.4:5',
    'zone': 'z',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
    'sequence': 9,
    'stage': 'decode',
    'born': 1786000000123,
}
ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=12,
)


def entry(**fields):
    value = {k: v for k, v in (ENTRY | fields).items() if v is not ...}
    return records.decode_endpoint('servers/i-1', json.dumps(value).encode())


def test_process_that_starts_again_has_another_id():
    first, second = entry(), entry(born=1786000009999)
    assert first.name == second.name == 'i-1'
    assert first.id != second.id
    assert entry(born=...).id == 'i-1'


@pytest.mark.parametrize(
    'wrong',
    [
        {'service': ...},
        {'service': 7},
        {'address': ...},
        {'address': '1.2.3.4'},
        {'address': '1.2.3.4:0'},
        {'address': 'somewhere:80'},
        {'address': '1.2.3.4:99999'},
        {'address': '1.2.3.4:65536'},
        {'address': '1.2.3.4:-1'},
        {'address': '1.2.3.4:' + '9' * 400},
        {'address': 'fe80::1%\u00e9:80'},
        {'zone': ['z']},
        {'slots': ...},
        {'slots': -3},
        {'slots': 0},
        {'slots': 10**30},
        {'slots': 10**400},
        {'slots': -(10**400)},
        {'slots': float('inf')},
        {'born': 10**400},
        {'slots': 2.5},
        {'slots': True},
        {'slots': float('nan')},
        {'state': 'asleep'},
        {'state': ...},
        {'stage': 'thinking'},
        {'stage': 3},
        {'born': -1},
        {'born': 1.5},
        {'born': '1786000000123'},
        {'zone': 'a\r\nX-Other: b'},
    ],
)
def test_entry_that_names_no_endpoint(wrong):
    """Each is refused with a reason; the fields that are right don't help."""
    found = entry(**wrong)
    assert isinstance(found, catalog.UnusableRecord)
    assert found.reason


@pytest.mark.parametrize(
    'value',
    [
        b'[' * 100_000,
        b'{"slots":' * 100_000,
        b'{"slots":%s}' % (b'9' * 5000),
        b'{"version":%s}' % (b'9' * 400),
        b'{"version":1,"limits":{"max_header_bytes":%s}}' % (b'9' * 400),
        b'{"version":-1}',
        b'{"version":1e999}',
        b'{"version":true}',
        b'',
        b'null',
        b'\xff{}',
    ],
    ids=lambda value: repr(value[:24]),
)
def test_value_of_another_writer(value):
    """Numbers of hundreds of digits ended the follower of the store."""
    for found in (
        records.decode_endpoint('servers/i-1', value),
        records.decode_configuration(value),
    ):
        assert isinstance(found, catalog.UnusableRecord)
        assert found.reason


@pytest.mark.parametrize('key', ['servers/', 'servers/a b', 'servers/a\r\nb'])
def test_key_that_names_no_endpoint(key):
    value = json.dumps(ENTRY).encode()
    assert isinstance(
        records.decode_endpoint(key, value), catalog.UnusableRecord
    )


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_a_record_or_refused(value):
    for found in (
        records.decode_endpoint('servers/i-1', value),
        records.decode_configuration(value),
    ):
        assert isinstance(found, catalog.UnusableRecord)


@hypothesis.given(ANY_JSON)
def test_any_json_is_a_record_or_refused(value):
    data = json.dumps(value).encode()
    for found in (
        records.decode_endpoint('servers/i-1', data),
        records.decode_configuration(data),
    ):
        assert isinstance(
            found,
            catalog.Endpoint | routes.Configuration | catalog.UnusableRecord,
        )


@hypothesis.given(strategies.sampled_from(sorted(ENTRY)), ANY_JSON)
def test_entry_with_one_field_changed(name, value):
    found = entry(**{name: value})
    assert isinstance(found, catalog.Endpoint | catalog.UnusableRecord)
    if isinstance(found, catalog.Endpoint):
        assert found.slots >= 1
        assert found.address.rpartition(':')[2].isdigit()
        assert found.id.isprintable()


def changed(value, path, new):
    if not path:
        return new
    copy = list(value) if isinstance(value, list) else dict(value)
    copy[path[0]] = changed(copy[path[0]], path[1:], new)
    return copy


def paths(value, path=()):
    yield path
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from paths(inner, (*path, name))
    elif isinstance(value, list):
        for number, inner in enumerate(value):
            yield from paths(inner, (*path, number))


CONFIGURATION = gatewayworld.configuration(version=3)


@hypothesis.given(
    strategies.sampled_from(list(paths(CONFIGURATION))), ANY_JSON
)
def test_configuration_with_one_value_changed(path, value):
    """One that can be read can be used: each path finds a route or none."""
    data = json.dumps(changed(CONFIGURATION, path, value)).encode()
    found = records.decode_configuration(data)
    if isinstance(found, catalog.UnusableRecord):
        assert found.reason
        return
    for each in found.routes:
        found.match(each.host, each.prefix)
        assert each.timeout_s > 0 and each.targets


@pytest.mark.parametrize(
    'value, expected',
    [('v1.2', 'v1.2'), (None, ''), (7, ''), ([], ''), ('x' * 100, '')],
)
def test_version_of_the_software_never_makes_an_entry_unusable(
    value, expected
):
    fields = {
        'service': 'model',
        'address': '1.2.3.4:5',
        'zone': 'z1',
        'slots': 1,
        'state': 'ready',
        'version': value,
    }
    found = records.decode_endpoint('servers/e1', json.dumps(fields).encode())
    assert found.version == expected
