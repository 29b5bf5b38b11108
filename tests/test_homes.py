"""Tests of magnoliadyke.homes: one home for each key."""

import gevent

from tests import requestpath

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
            if other.callers.homes.adopted
        ]
        assert adopters == [node.status.successor]
        for host in ('host-2', 'host-3'):
            bench.complete(6, host, Idempotency_Key=f'{ticket}/2')
        assert len(bench.runs()) == 1
