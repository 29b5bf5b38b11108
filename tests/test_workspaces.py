"""Who may use a route."""

import pytest

from magnoliadyke.core import routes
from magnoliadyke.core import workspaces
from magnoliadyke.platform import records
from tests import gatewayworld

LARGE = workspaces.Workspace('large')
SMALL = workspaces.Workspace('small')


def configuration(listed=None):
    known = None if listed is None else workspaces.Workspaces(listed)
    return routes.Configuration(1, (), {}, routes.CallerLimits(), known)


def route(**fields):
    made = gatewayworld.route('r', '/r/', 'safe', 'plain', **fields)
    decoded = records.decode_configuration(
        gatewayworld.as_bytes(gatewayworld.configuration(1, [made]))
    )
    return decoded.routes[0]


def admit(known, key, confirmed=True, **fields):
    key_digest = None if key is None else workspaces.digest(key)
    return workspaces.admit(known, route(**fields), key_digest, confirmed)


def test_key_names_its_workspace():
    known = configuration([(LARGE, [b'a', b'b']), (SMALL, [b'c'])])
    assert admit(known, b'b') == workspaces.Allowed(LARGE)
    assert admit(known, b'c') == workspaces.Allowed(SMALL)


@pytest.mark.parametrize('key', [None, b'', b'x', b'a ', b'\xff' * 4000])
def test_other_keys_are_unknown(key):
    known = configuration([(LARGE, [b'a'])])
    assert isinstance(admit(known, key), workspaces.UnknownKey)


def test_host_without_proof_says_so_before_it_judges_a_key():
    """A key that was just added would be refused for good."""
    known = configuration([(LARGE, [b'a'])])
    for key in (b'a', b'x', None):
        found = admit(known, key, confirmed=False)
        assert isinstance(found, workspaces.Unconfirmed)


def test_public_routes_and_deployments_without_workspaces_need_no_key():
    known = configuration([(LARGE, [b'a'])])
    for confirmed in (True, False):
        found = admit(known, None, confirmed, public=True)
        assert found == workspaces.Allowed(None)
        assert admit(configuration(), None, confirmed) == found


def test_no_workspace_at_all_is_not_the_same_as_none_asked_for():
    assert isinstance(admit(configuration([]), b'a'), workspaces.UnknownKey)


def test_key_of_two_workspaces_belongs_to_the_first():
    made = workspaces.Workspaces([(LARGE, [b'a']), (SMALL, [b'a', b'b'])])
    assert made.holder(workspaces.digest(b'a')) == LARGE
    assert made.shared == 1


def test_keys_themselves_are_not_held():
    key = b'a-key-that-is-told-to-nobody'
    made = workspaces.Workspaces([(LARGE, [key])])
    assert key not in repr(vars(made)).encode()
    assert len(workspaces.digest(key)) == workspaces.DIGEST_BYTES


def test_ten_thousand_keys_are_decoded():
    keys = {f'w{n}': [f'key-{n}-{m}' for m in range(10)] for n in range(1000)}
    value = gatewayworld.configuration(3, workspaces=keys)
    decoded = records.decode_configuration(gatewayworld.as_bytes(value))
    assert len(decoded.workspaces) == 10_000
    holder = decoded.workspaces.holder(workspaces.digest(b'key-999-9'))
    assert holder.name == 'w999'


@pytest.mark.parametrize(
    'tenants',
    [
        'all',
        [{'name': 'a', 'api_keys': 'k'}],
        [{'name': 'a', 'api_keys': [7]}],
        [{'api_keys': ['k']}],
        [{'name': 'a\r\nX-Other: 1', 'api_keys': ['k']}],
    ],
)
def test_workspaces_that_cannot_be_read_change_nothing(tenants):
    value = gatewayworld.configuration(3) | {'tenants': tenants}
    decoded = records.decode_configuration(gatewayworld.as_bytes(value))
    assert not isinstance(decoded, routes.Configuration)


def test_empty_key_of_a_workspace_opens_nothing():
    value = gatewayworld.configuration(3, workspaces={'a': ['']})
    decoded = records.decode_configuration(gatewayworld.as_bytes(value))
    assert decoded.workspaces.holder(workspaces.digest(b'')) is None
