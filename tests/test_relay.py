"""Tests of magnoliadyke.relay: requests at their home, elsewhere."""

import gevent

from tests import requestpath

SLOW = {'prefill_s_per_token': 1e-5, 'decode_base_s': 0.02}
CHARGE = '/v1/services/portal/charge'


def test_a_service_call_is_relayed_to_its_home():
    with requestpath.Bench(2) as bench:
        key = bench.ticket('host-1') + '/1'
        path = '/v1/services/portal/notice?lang=kk'
        first = bench.call('POST', path, {}, 'host-2', Idempotency_Key=key)
        again = bench.call('POST', path, {}, 'host-1', Idempotency_Key=key)
        assert first.body == again.body
        assert len(bench.service_runs()) == 1


def test_an_outcome_of_the_home_is_relayed():
    with requestpath.Bench(2) as bench:
        bench.nodes['host-1'].status.fresh = False
        key = bench.ticket('host-1') + '/1'
        reply = bench.call('POST', CHARGE, {}, 'host-2', Idempotency_Key=key)
        assert reply.error() == ('not_run', 'stale_table')


def test_a_relay_whose_connection_breaks_goes_on_where_it_was():
    """The connection between two hosts breaks in mid-answer.

    The relaying host asks the home for the same key from its offset on; the
    caller notices nothing.
    """
    with requestpath.Bench(2, SLOW) as bench:
        key = bench.ticket('host-1') + '/1'
        caller = gevent.spawn(
            bench.complete, 60, 'host-2', Idempotency_Key=key
        )
        gevent.sleep(0.5)
        (relay,) = bench.nodes['host-2'].callers.homes.relays
        (pump,) = bench.nodes['host-2'].callers.streams.pumps
        assert pump.target_run is relay
        pump.stop()
        reply = caller.get(timeout=10)
        assert reply.text() == requestpath.answer_of(60)
        assert len(bench.runs()) == 1


def test_a_first_copy_that_never_left_is_not_run():
    """The home can't be reached at all, though others call it alive.

    The caller vouches that this is the first copy and no byte left for the
    home, so it did not run. Without that word it may have.
    """
    with requestpath.Bench(2) as bench:
        key = bench.ticket('host-1') + '/1'
        bench.kill_node('host-1')
        unreachable = {'address': '127.0.0.1', 'caller_port': 1}
        bench.members.publish(bench.make_members(host_1=unreachable))
        first = gevent.spawn(
            bench.call,
            'POST',
            CHARGE,
            {},
            'host-2',
            Idempotency_Key=key,
            X_First_Attempt='true',
        )
        other = bench.call('POST', CHARGE, {}, 'host-2', Idempotency_Key=key)
        assert other.error() == ('unknown', 'home_lost')
        told = first.get(timeout=10)
        assert told.error() == ('not_run', 'home_unreachable')
        assert bench.service_runs() == []
