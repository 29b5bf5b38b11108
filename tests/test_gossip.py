"""The membership task over a fake network."""

import pytest

from magnoliadyke.core import digests
from magnoliadyke.core import hostdiscovery
from magnoliadyke.core import membership
from magnoliadyke.core import notices
from magnoliadyke import gossip
from magnoliadyke import tablemessages
from magnoliadyke.wire import constants
from tests import fleet as fleets


@pytest.fixture
def fleet(monkeypatch):
    made = fleets.Fleet(monkeypatch)
    made.start()
    yield made
    made.stop()


def states(fleet, host):
    view = fleet.nodes[host].gossip.members.last
    return {member.host: member.state for member in view.members.values()}


def test_all_see_all_and_a_killed_host_is_out_within_3_s(fleet):
    fleet.run_until(lambda: len(states(fleet, 'h0')) == 4, 4.0)
    fleet.run(2.0)
    fleet.kill('h3')
    fleet.run_until(lambda: states(fleet, 'h0')['h3'] == 'dead', 3.0)
    assert states(fleet, 'h1')['h2'] == membership.ALIVE


def test_a_host_that_leaves_is_told_at_once_with_its_successor(fleet):
    fleet.run(3.0)
    leave = gossip.Leave('h1')
    fleet.nodes['h2'].gossip.post(leave)
    fleet.run(0.1)
    assert leave.result.get() is True
    seen = fleet.nodes['h0'].gossip.members.last.members['h2']
    assert (seen.state, seen.successor) == (membership.LEFT, 'h1')


def test_a_stopping_host_declines_work_but_keeps_its_permit(fleet):
    fleet.run(5.0)
    fleet.nodes['h1'].gossip.post(gossip.OwnState(takes_work=False))
    fleet.run(4.0)
    assert not fleet.nodes['h0'].gossip.members.last.members['h1'].takes_work
    assert 'h1' in fleet.working()


def test_a_pause_is_published(fleet):
    # A node that was stopped and goes on would send a command that its
    # successor knows nothing of. The jump of its clock is published before
    # anything else happens, and the duties drop their leases on it.
    fleet.run(2.0)
    node = fleet.nodes['h0'].gossip
    node.membership.tick(fleet.clock.now_s() - 10)
    fleet.run(0.2)
    assert node.pauses.last.for_s > 9


def test_notices_reach_all_and_lapse_when_their_sender_dies(fleet):
    # Requests would never again be placed on an engine: the planner takes
    # it out of use for a role change and dies. The notice carries the time
    # after which every node takes the engine back by itself.
    fleet.run(3.0)
    notice = notices.EngineNotice('e1', 7, True, 2.0)
    fleet.nodes['h0'].gossip.post(gossip.SendEngineNotice(notice))
    fleet.run(0.1)
    fleet.kill('h0')
    others = [node.gossip for node in fleet.nodes.values()]
    changing = notices.EngineUse('e1', notices.CHANGING)
    assert [each.engine_uses.last for each in others] == [changing] * 3
    fleet.run(2.5)
    in_use = notices.EngineUse('e1', notices.UP)
    assert [each.engine_uses.last for each in others] == [in_use] * 3


def test_the_largest_digest_reaches_the_others(fleet):
    # Hosts would not learn what a busy one served its customers, nor which
    # requests it suspects of crashes: with 16 customers and suspects its
    # digest was larger than datagrams took, and was left out without a word.
    fleet.run(3.0)
    digest = b'x' * digests.MAX_BYTES
    fleet.nodes['h0'].gossip.post(gossip.OwnDigest(digest))
    fleet.run(3.0)
    heard = [fleet.nodes[name].gossip.digests.last for name in ('h1', 'h2')]
    assert heard == [gossip.PeerDigest('h0', digest)] * 2


def test_no_datagram_is_so_long_that_a_network_splits_it(fleet):
    node = fleet.nodes['h0'].gossip
    members = tuple(
        node.membership.own._replace(host=f'{number}' * 60, successor='s' * 60)
        for number in range(4)
    )
    ping = membership.Ping(
        1, node.membership.own, 'h1', members, (), b'x' * digests.MAX_BYTES
    )
    sent_before = node.sent_bytes
    node.send(('h1', 2), ping)
    size = node.sent_bytes - sent_before
    assert digests.MAX_BYTES < size <= constants.MAX_DATAGRAM_BYTES


def test_an_edit_waits_for_a_host_outside_the_settings(fleet):
    # Two customers' limits would be in force at once: a host that only the
    # platform's list knows is cut off, all hosts of the settings have the
    # edit, and the stranger goes on with the old table. It is waited for
    # until it has noticed and stopped.
    own = fleet.settings
    fleet.settings = fleets.settings_of([*fleet.names, 'h4'], [])
    fleet.start('h4')
    fleet.settings = own
    rows = ({'host': 'h4', 'state': 'live', 'address': 'h4'},)
    listed = hostdiscovery.parse_host_list({'hosts': rows, 'at_s': 1.0})
    for name in fleet.names:
        fleet.nodes[name].gossip.post(gossip.HostsListed(listed))
    fleet.run_until(lambda: 'h4' in fleet.working(), 10.0)
    fleet.run(3.0)
    fleet.separate(['h4'], [*fleet.names, fleets.STORE])
    answer, _ = fleet.edit('h0', {'customers/lease/weight': 9}, 'e1')
    assert isinstance(answer, tablemessages.Accepted)
    assert 'h4' not in fleet.working()
