"""Tests of magnoliadyke.client."""

import gevent

from magnoliadyke import client
from magnoliadyke.core import outcomes
from tests import requestpath


def make(bench, key=requestpath.KEY):
    """Return a client that knows all hosts of a bench."""
    hosts = [
        f'{row.address}:{row.caller_port}' for row in bench.settings.hosts
    ]
    return client.Client(hosts, key)


def test_completes_and_keeps_its_host():
    with requestpath.Bench(2) as bench:
        caller = make(bench)
        pieces = []
        outcome = caller.complete(
            requestpath.MODEL,
            'p answer-tokens:40',
            1000,
            on_text=lambda text, offset: pieces.append(text),
        )
        first = caller.session.address
        caller.complete(requestpath.MODEL, 'p answer-tokens:4', 1000)
        assert caller.session.address == first
    assert outcome.text == ''.join(pieces) == requestpath.answer_of(40)
    assert outcome.output_tokens == 40


def test_calls_a_service():
    with requestpath.Bench() as bench:
        outcome = make(bench).call('portal', 'POST', '/notice', b'{}')
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.finish_reason == '200'


def test_an_answer_goes_on_at_another_host():
    """The caller's connection breaks in the middle of its answer.

    The library connects to another host and asks for the same key from its
    offset on; that host relays to the home, where the request still runs.
    """
    with requestpath.Bench(2) as bench:
        caller = make(bench)
        broken = []

        def cut(text, offset):
            if offset > 20 and not broken:
                broken.append(caller.session.address)
                caller.connections_by_address[broken[0]].stream = refuse
                caller.connections_by_address[broken[0]].call = refuse
                raise ConnectionResetError('cut by the test')

        outcome = caller.complete(
            requestpath.MODEL, 'p answer-tokens:60', 1000, on_text=cut
        )
        assert len(bench.runs()) == 1
    assert broken
    assert outcome.text == requestpath.answer_of(60)


def refuse(*arguments, **options):
    raise client.errors.EndpointUnreachable('refused by the test', sent=False)


def test_a_stopping_host_cuts_nothing():
    """An operator stops the host in the middle of an answer.

    The running answer ends; a new request goes to the other host; a resend
    of the finished key gets its answer from the successor.
    """
    with requestpath.Bench(2) as bench:
        caller = make(bench)
        running = gevent.spawn(
            caller.complete, requestpath.MODEL, 'p answer-tokens:200', 1000
        )
        gevent.sleep(0.15)
        home = caller.session.ticket.split('.')[0]
        bench.stop_node(home)
        first = running.get(timeout=10)
        assert first.text == requestpath.answer_of(200)
        later = caller.complete(requestpath.MODEL, 'p answer-tokens:5', 1000)
        assert later.text == requestpath.answer_of(5)
        (other,) = bench.nodes
        again = bench.complete(200, other, Idempotency_Key=first.key)
        assert again.text() == first.text
        assert len(bench.runs()) == 2


def test_gives_up_when_no_host_answers():
    nobody = client.Client(['127.0.0.1:1'], requestpath.KEY)
    outcome = nobody.complete('m', 'p', deadline_s=0.3)
    assert outcome == client.NO_HOST


def test_a_servers_own_error_is_not_the_services_answer():
    """A host answers a call with a bare 500 of its HTTP server.

    The call may or may not run; its caller must not take the page for the
    service's answer. The library asks again with the same key.
    """
    with requestpath.Bench() as bench:
        front = bench.nodes['host-1'].callers
        whole = front.homes.route_request
        broken = []

        def place(request):
            if not broken:
                broken.append(request.key)
                raise RuntimeError('made by the test')
            return whole(request)

        front.homes.route_request = place
        outcome = make(bench).call('portal', 'POST', '/charge', b'{}')
        assert outcome.finish_reason == '200'
        assert outcome.key == broken[0]
        assert len(bench.service_runs()) == 1
