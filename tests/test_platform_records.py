"""The operator's configuration and the endpoints' entries."""

import json

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
    assert made.limits.idle_s == 5.0


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
