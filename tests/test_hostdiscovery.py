"""Tests of host discovery from the platform's lagging host list."""

import pytest

from magnoliadyke.core import hostdiscovery
from magnoliadyke.core import membership

OWN = membership.Member('h1', 5000, '192.0.2.1', 1, 2, 'd1', takes_work=True)


def listed(at_s, **states):
    rows = [
        {'host': host, 'state': state, 'address': f'a-{host}'}
        for host, state in states.items()
    ]
    return hostdiscovery.parse_host_list({'hosts': rows, 'at_s': at_s})


def test_only_live_unknown_hosts_are_probed():
    hosts = listed(1.0, h1='live', h2='live', h3='leaving', h4='odd')
    (found,) = hostdiscovery.hosts_to_probe(hosts, ['h1'], OWN)
    assert (found.host, found.address, found.peer_port) == ('h2', 'a-h2', 2)


def test_a_leaving_host_takes_no_work_until_it_is_started_anew():
    other = OWN._replace(host='h2')
    members = {'h1': OWN, 'h2': other}
    hosts = listed(6.0, h2='leaving')
    after = hostdiscovery.without_leaving(members, hosts, 'h1')
    assert not after['h2'].takes_work
    members['h2'] = other._replace(incarnation=7000)
    assert hostdiscovery.without_leaving(members, hosts, 'h1') == members


def test_a_list_that_leaves_no_host_is_not_believed():
    # Callers would get an empty answer from a fleet that works: the list
    # lags and still calls hosts leaving that have been kept after all.
    members = {
        'h1': OWN._replace(takes_work=False),
        'h2': OWN._replace(host='h2'),
    }
    hosts = listed(6.0, h1='leaving', h2='leaving')
    assert hostdiscovery.without_leaving(members, hosts, 'h1') == members


@pytest.mark.parametrize('document', [None, {}, {'hosts': [{}], 'at_s': 1}])
def test_what_is_no_list_is_refused(document):
    with pytest.raises(ValueError, match='malformed host list'):
        hostdiscovery.parse_host_list(document)


def test_large_fleets_poll_rarely():
    intervals = [hostdiscovery.poll_interval_s(n) for n in (1, 8, 60, 420)]
    assert intervals == [2.0, 10.0, 60.0, 60.0]
