"""Tests of magnoliadyke.homes: one home for each key."""

import http.client
import re

import gevent
import pytest

from magnoliadyke.core import table
from tests import requestpath

SLOW = {'prefill_s_per_token': 1e-5, 'decode_base_s': 0.02}
CHARGE = '/v1/services/portal/charge'


def test_a_key_with_another_body_is_rejected():
    with requestpath.Bench() as bench:
        key = bench.ticket() + '/1'
        bench.complete(3, Idempotency_Key=key)
        reply = bench.complete(4, Idempotency_Key=key)
    assert reply.error() == ('rejected', 'key_reused')


def test_a_key_of_another_customer_is_rejected():
    with requestpath.Bench() as bench:
        key = bench.ticket() + '/1'
        bench.complete(3, Idempotency_Key=key)
        reply = bench.complete(
            3,
            Idempotency_Key=key,
            Authorization=f'Bearer {requestpath.OTHER_KEY}',
        )
    assert reply.error() == ('rejected', 'key_of_another_customer')


def test_an_invented_ticket_is_rejected():
    with requestpath.Bench() as bench:
        key = 'host-1.7.1f-1-0123456789abcdef/1'
        reply = bench.complete(3, Idempotency_Key=key)
    assert reply.error() == ('rejected', 'bad_ticket')


def test_a_dead_home_makes_an_unrepeatable_request_unknown():
    """The caller sees ``Unknown`` after its host was killed.

    The home of the key may have run the request before it died. No other
    host may run it, and none may say that it did not run.
    """
    with requestpath.Bench(2) as bench:
        key = bench.ticket('host-1') + '/1'
        bench.members.publish(bench.make_members(host_1={'state': 'dead'}))
        reply = bench.call('POST', CHARGE, {}, 'host-2', Idempotency_Key=key)
        assert reply.status == 504
        assert reply.error() == ('unknown', 'home_gone')
        assert bench.service_runs() == []
        again = bench.complete(3, 'host-2', Idempotency_Key=key)
        assert again.text() == requestpath.answer_of(3)


def test_an_unrepeatable_call_runs_once_for_many_copies():
    """A caller's proxy sends the same call several times at once.

    All copies have one key; the first runs, the others wait for its answer
    and get the same, at whichever host they arrive.
    """
    with requestpath.Bench(2) as bench:
        key = bench.ticket('host-1') + '/9'
        copies = [
            gevent.spawn(
                bench.call, 'POST', CHARGE, {}, host, Idempotency_Key=key
            )
            for host in ('host-1', 'host-2') * 4
        ]
        bodies = {copy.get(timeout=10).body for copy in copies}
        assert len(bodies) == 1
        assert len(bench.service_runs()) == 1


def test_a_lost_answer_makes_an_unrepeatable_call_unknown():
    """The service runs the call, then its connection ends without a word.

    Whether it ran can't be known from here: the caller is told so, and the
    call is not made again, also not when the caller resends its key.
    """
    with requestpath.Bench() as bench:
        bench.service.faults.set('lose_reply', {})
        key = bench.ticket() + '/1'
        for _ in range(2):
            reply = bench.call('POST', CHARGE, {}, Idempotency_Key=key)
            assert reply.error() == ('unknown', 'endpoint_lost')
        assert len(bench.service_runs()) == 1


def test_a_refused_call_is_not_run_also_when_it_is_sent_again():
    """The caller is told ``NotRun``, and an older copy arrives later.

    The older copy was held up on a slow connection. It must not run now
    that the caller knows that the request did not.
    """
    with requestpath.Bench() as bench:
        key = bench.ticket() + '/1'
        bench.nodes['host-1'].status.fresh = False
        reply = bench.call('POST', CHARGE, {}, Idempotency_Key=key)
        assert reply.error() == ('not_run', 'stale_table')
        bench.nodes['host-1'].status.fresh = True
        late = bench.call('POST', CHARGE, {}, Idempotency_Key=key)
        assert late.error() == ('not_run', 'stale_table')
        assert bench.service_runs() == []


def test_new_keys_of_a_stopped_home_run_at_its_successor():
    """A caller keeps its ticket after the host that gave it has stopped."""
    with requestpath.Bench(3) as bench:
        ticket = bench.ticket('host-1')
        done = bench.complete(5, 'host-1', Idempotency_Key=f'{ticket}/1')
        bench.stop_node('host-1')
        for host in ('host-2', 'host-3'):
            again = bench.complete(5, host, Idempotency_Key=f'{ticket}/1')
            assert again.text() == done.text()
            new = bench.complete(6, host, Idempotency_Key=f'{ticket}/2')
            assert new.text() == requestpath.answer_of(6)
        assert len(bench.runs()) == 2


def test_a_lost_last_answer_leaves_one_successor():
    """The successor adopts the records, but its answer is lost.

    Handing them to another host as well would make two homes, and a key
    could run twice. The first stays the successor.
    """
    with requestpath.Bench(3) as bench:
        node = bench.nodes['host-1']
        node.peers.lose_last_reply = True
        ticket = bench.ticket('host-1')
        bench.stop_node('host-1')
        adopters = [
            name
            for name, other in bench.nodes.items()
            if other.callers.homes.handover.adopted
        ]
        assert adopters == [node.status.successor]
        for host in ('host-2', 'host-3'):
            bench.complete(6, host, Idempotency_Key=f'{ticket}/2')
        assert len(bench.runs()) == 1


def test_a_repeatable_answer_goes_on_when_its_home_dies():
    """The home of a streamed answer dies while another host relays it.

    The request may be repeated, so the relaying host lets an engine go on
    from the offset that the caller has. The caller sees one whole answer.
    """
    with requestpath.Bench(2, SLOW) as bench:
        key = bench.ticket('host-1') + '/1'
        caller = gevent.spawn(
            bench.complete, 60, 'host-2', Idempotency_Key=key
        )
        gevent.sleep(0.6)
        bench.kill_node('host-1')
        reply = caller.get(timeout=15)
        assert reply.text() == requestpath.answer_of(60)
        assert b'[DONE]' in reply.body
        assert len(bench.runs()) == 2
        rows = bench.engine.ledger.rows
        ends = [row['end'] for row in rows if row['what'] == 'end']
        assert ends == ['cancelled', 'finished']


def test_a_stopping_host_serves_what_still_comes():
    """A caller that remembers the stopping host goes on sending to it.

    One request still runs there. New ones, with and without a key, are
    relayed to the successor; a copy of the running one follows it, at the
    old host and at the new one.
    """
    with requestpath.Bench(2, SLOW) as bench:
        ticket = bench.ticket('host-1')
        first = gevent.spawn(
            bench.complete, 80, 'host-1', Idempotency_Key=f'{ticket}/1'
        )
        gevent.sleep(0.3)
        stopping = gevent.spawn(bench.stop_node, 'host-1')
        gevent.sleep(0.1)
        copy = gevent.spawn(
            bench.complete, 80, 'host-2', Idempotency_Key=f'{ticket}/1'
        )
        new = bench.complete(5, 'host-1', Idempotency_Key=f'{ticket}/2')
        plain = bench.complete(6, 'host-1')
        assert new.text() == requestpath.answer_of(5)
        assert plain.text() == requestpath.answer_of(6)
        whole = requestpath.answer_of(80)
        assert first.get(timeout=10).text() == whole
        assert copy.get(timeout=10).text() == whole
        stopping.get(timeout=10)
        late = bench.complete(80, 'host-2', Idempotency_Key=f'{ticket}/1')
        assert late.text() == whole
        assert len(bench.runs()) == 3


def test_a_new_host_finds_the_successor_of_an_old_home():
    """All that remember a stopped home's successor are asked for it.

    The new host has never seen the old home; its members name a later
    incarnation of the same host.
    """
    with requestpath.Bench(3) as bench:
        key = bench.ticket('host-1') + '/1'
        done = bench.complete(5, 'host-1', Idempotency_Key=key)
        bench.stop_node('host-1')
        for node in bench.nodes.values():
            node.callers.homes.home_directory.record_successors()
        (other,) = set(bench.nodes) - {bench.successor}
        bench.nodes[other].callers.homes.home_directory.successors.clear()
        bench.members.publish(
            bench.make_members(host_1={'incarnation': 9, 'state': 'dead'})
        )
        again = bench.complete(5, other, Idempotency_Key=key)
        assert again.text() == done.text()
        assert len(bench.runs()) == 1


def test_a_stopping_host_cuts_no_call_that_it_relays_or_runs():
    """Two calls of a service are under way when a host is stopped.

    One runs at that host, the other at its home elsewhere and is relayed.
    Both callers get the service's answer, not a 500 from a server that
    kills its connections, which would look like the service's own.
    """
    with requestpath.Bench(2) as bench:
        bench.service.faults.set('slow', {'delay_s': 0.6})
        keys = [bench.ticket(host) + '/1' for host in ('host-1', 'host-2')]
        calls = [
            gevent.spawn(
                bench.call, 'POST', CHARGE, {}, 'host-1', Idempotency_Key=key
            )
            for key in keys
        ]
        gevent.sleep(0.2)
        bench.stop_node('host-1')
        replies = [call.get(timeout=10) for call in calls]
        assert [reply.status for reply in replies] == [200, 200]
        assert len(bench.service_runs()) == 2


def test_a_host_out_of_time_ends_connections_without_an_answer():
    """The deadline of the stop is over before the service has answered.

    The host knows no outcome. It closes the connection; the caller asks
    again with its key and gets ``Unknown`` from the successor.
    """
    with requestpath.Bench(2) as bench:
        bench.service.faults.set('slow', {'delay_s': 1.5})
        key = bench.ticket('host-1') + '/1'
        call = gevent.spawn(
            bench.call, 'POST', CHARGE, {}, 'host-1', Idempotency_Key=key
        )
        gevent.sleep(0.2)
        bench.stop_node('host-1', deadline_s=0.3)
        with pytest.raises(http.client.HTTPException):
            call.get(timeout=10)
        again = bench.call('POST', CHARGE, {}, 'host-2', Idempotency_Key=key)
        assert again.error() == ('unknown', 'home_stopped')
        assert len(bench.service_runs()) == 1


def test_a_stopping_host_claims_no_key_that_it_will_not_run():
    """A caller's own key reaches a host that has begun to stop.

    A claim for the old home would outlive it: the successor would find the
    key claimed by a home that it took over, without a record, and have to
    say ``Unknown`` of a request that never ran.
    """
    with requestpath.Bench(2, SLOW) as bench:
        running = gevent.spawn(bench.complete, 60, 'host-1')
        gevent.sleep(0.2)
        stopping = gevent.spawn(bench.stop_node, 'host-1')
        gevent.sleep(0.2)
        reply = bench.complete(5, 'host-1', Idempotency_Key='order 17')
        assert reply.text() == requestpath.answer_of(5)
        assert running.get(timeout=10).status == 200
        stopping.get(timeout=10)
        again = bench.complete(5, 'host-2', Idempotency_Key='order 17')
        assert again.text() == reply.text()
        assert len(bench.runs()) == 2


def test_asking_for_an_answer_does_not_claim_its_key():
    with requestpath.Bench() as bench:
        asked = bench.call('GET', '/v1/answers/order%2017')
        assert asked.error() == ('unknown', 'answer_gone')
        reply = bench.complete(30, Idempotency_Key='order 17')
        assert reply.text() == requestpath.answer_of(30)
        # An event may carry several tokens: go on where one begins.
        starts = re.findall(rb'"offset":(\d+)', reply.body)
        offset = int(starts[len(starts) // 2])
        path = f'/v1/answers/order%2017?offset={offset}'
        rest = reply.text().split(' ')[offset:]
        assert bench.call('GET', path).text() == ' '.join(rest)


def test_an_error_before_the_run_leaves_no_record_behind():
    """Something raises between the record of a key and its run.

    A copy of the key must not wait for a run that does not exist.
    """
    with requestpath.Bench() as bench:
        homes = bench.nodes['host-1'].callers.homes
        build, homes.build = homes.build, None
        key = bench.ticket() + '/1'
        assert bench.complete(3, Idempotency_Key=key).status == 500
        homes.build = build
        reply = bench.complete(3, Idempotency_Key=key)
        assert reply.text() == requestpath.answer_of(3)


def test_a_drained_host_is_not_listed_and_serves_what_still_comes():
    with requestpath.Bench(2) as bench:
        rows = {'host-1': table.HostRow(state='drain')}
        bench.table.publish(bench.make_view()._replace(hosts=rows))
        for host in ('host-1', 'host-2'):
            listed = bench.call('GET', '/v1/hosts', host=host).json()['hosts']
            assert [each['host'] for each in listed] == ['host-2']
        assert bench.complete(3).text() == requestpath.answer_of(3)
