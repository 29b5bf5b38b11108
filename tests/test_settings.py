"""Tests of reading settings."""

import json
import pathlib

import pytest

from magnoliadyke import errors
from magnoliadyke import settings

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'


@pytest.mark.parametrize(
    ('name', 'domains', 'engines', 'servers'),
    [('dala', 4, 5, 4), ('zarqa', 3, 6, 3)],
)
def test_samples_have_the_sizes_of_the_deployments(
    name, domains, engines, servers
):
    loaded = settings.load(EXAMPLES / f'{name}.json')
    assert len(loaded.hosts) == 8
    assert len(loaded.failure_domains) == domains
    models, services = loaded.pools
    assert len(models.endpoints) == engines
    assert len(services.endpoints) == servers
    assert {engine.checks_fencing for engine in models.endpoints} == {
        True,
        False,
    }
    assert any(not route.repeatable for route in services.routes)


def test_parts_that_may_be_left_out_get_defaults():
    document = json.loads((EXAMPLES / 'dala.json').read_text())
    for key in ('limits', 'timing', 'logging', 'metrics', 'initial_table'):
        del document[key]
    loaded = settings.parse(document)
    assert loaded.timing.stop_s == 30
    assert loaded.limits.body_bytes == 4 * 1024 * 1024
    assert loaded.logging.level == 'INFO'
    assert loaded.initial_table == {}


def test_host_that_is_not_named():
    loaded = settings.load(EXAMPLES / 'dala.json')
    assert loaded.host('entry-3').failure_domain == 'alm-bostandyk'
    with pytest.raises(errors.UsageError, match='use one of entry-1'):
        loaded.host('entry-9')


@pytest.mark.parametrize(
    ('text', 'message', 'remedy'),
    [
        (b'{"a": 1,}', 'not JSON', 'line 1, column 9'),
        (b'\xff', 'not UTF-8', 'UTF-8'),
        (b'{"a": 1, "a": 2}', 'twice', 'keep one'),
        (b'[]', 'wrong type', 'object'),
    ],
)
def test_file_that_is_no_settings(tmp_path, text, message, remedy):
    path = tmp_path / 'settings.json'
    path.write_bytes(text)
    found = settings.check(path)
    assert message in found[0].message
    assert remedy in found[0].remedy
    with pytest.raises(errors.SettingsError):
        settings.load(path)


def test_file_that_is_not_there(tmp_path):
    (found,) = settings.check(tmp_path / 'none.json')
    assert 'No such file' in found.message
