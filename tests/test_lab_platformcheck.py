"""The checker of days on the platform finds each broken promise."""

import pytest

from magnoliadyke.lab import platformcheck
from magnoliadyke.lab import platformendpoint

WHOLE = platformcheck.stream(5)


def one(request_id='c1', kind='safe', **fields):
    body = WHOLE
    if kind in ('safe', 'unsafe'):
        body = f'answer to {request_id}'.encode()
    values = {
        'host': 'host-1',
        'sent_s': 100.0,
        'ended_s': 100.1,
        'status': 200,
        'sealed': True,
        'body': body,
        'complete': True,
    }
    return platformcheck.Try(request_id, kind, **(values | fields))


def endpoint(*ids, at_s=100.0, name='p1'):
    made = platformendpoint.EndpointStandIn(name, 'plain')
    for request_id in ids:
        headers = {b'x-request-id': request_id.encode()}
        made.arrivals.append(
            platformendpoint.Arrival(at_s, b'GET', b'/', headers, b'', True)
        )
    return made


def evidence(*tries, endpoints=(), **fields):
    calm = [one(f'calm{n}', sent_s=200.0, ended_s=200.1) for n in range(40)]
    values = {
        'disturbed': [],
        'leaving': [],
        'calm_s': 190.0,
        'events': 5,
        'ended': {},
        'unstopped': [],
        'unready': [],
    }
    return platformcheck.Evidence(
        [*tries, *calm], list(endpoints), **(values | fields)
    )


def broken(*tries, **fields):
    found = platformcheck.check(evidence(*tries, **fields))
    return [violation.promise for violation in found]


def disturbed(what, from_s=99.0, to_s=101.0, stopping=False):
    return platformcheck.Disturbed(what, from_s, to_s, stopping)


def test_nothing_is_found_where_all_went_well():
    assert (
        broken(
            one('a'),
            one('b', 'unsafe'),
            one('c', 'chat'),
            endpoints=[endpoint('a', 'b', 'c')],
        )
        == []
    )


@pytest.mark.parametrize(
    ('wrong', 'promise'),
    [
        (one(status=404), 'proper requests pass'),
        (one(sealed=False), 'own answers are no success'),
        (one(body=b'answer to another'), 'answers are whole'),
        (one(body=b'answer'), 'answers are whole'),
        (one(kind='chat', body=WHOLE[:40]), 'streams are whole'),
        (
            one(kind='chat', body=WHOLE[:20] + WHOLE, complete=False),
            'events come once',
        ),
        (one(status=0, complete=False), 'each request is answered'),
    ],
)
def test_wrong_answer_is_found(wrong, promise):
    assert promise in broken(wrong)


def test_second_run_of_what_may_run_once_is_found():
    endpoints = [endpoint('a'), endpoint('a', name='p2')]
    tried = one('a', 'unsafe', status=502)
    assert broken(tried, endpoints=endpoints) == ['at most once']
    assert broken(one('a'), endpoints=endpoints) == []


def test_untrue_not_run_is_found():
    tried = one('a', 'unsafe', status=503)
    assert broken(tried) == []
    assert broken(tried, endpoints=[endpoint('a')]) == ['"not run" is true']


def test_request_that_nobody_sent_is_found():
    assert broken(endpoints=[endpoint('x')]) == ['only what was asked']


def test_cut_answer_is_allowed_only_where_something_was_done_to_the_host():
    cut = one('a', status=0, complete=False)
    assert broken(cut, disturbed=[disturbed('host-1')]) == []
    assert broken(cut, disturbed=[disturbed('host-2')])
    assert broken(cut, disturbed=[disturbed('host-1', 10.0, 50.0)])


def test_stopping_host_loses_nothing_that_it_passed_on():
    """A host that stops may close a connection that a request crosses.

    One that it has passed on it has to answer.
    """
    cut = one('a', status=0, complete=False)
    stops = [disturbed('host-1', stopping=True)]
    assert broken(cut, disturbed=stops) == []
    assert broken(cut, disturbed=stops, endpoints=[endpoint('a')]) == [
        'each request is answered'
    ]


def test_stream_may_break_only_while_endpoints_are_disturbed():
    cut = one('a', 'chat', body=WHOLE[:20], complete=False)
    assert broken(cut, disturbed=[disturbed('endpoints')]) == []
    assert broken(cut) == ['each request is answered']


def test_late_work_for_a_leaving_endpoint_is_found():
    leaving = [platformcheck.Leaving('p1', 90.0)]
    late = endpoint('a', at_s=95.0)
    assert broken(one('a'), endpoints=[late], leaving=leaving) == [
        'leaving endpoints get nothing'
    ]
    store = [disturbed('store', 89.0, 91.0)]
    assert (
        broken(one('a'), endpoints=[late], leaving=leaving, disturbed=store)
        == []
    )


def test_failures_after_the_last_fault_are_found():
    failed = [
        one(f'f{n}', status=503, sent_s=200.0, ended_s=200.1) for n in range(9)
    ]
    assert broken(*failed) == ['it recovers']


def test_nobody_asking_is_no_proof():
    seen = evidence()._replace(tries=[])
    (found,) = platformcheck.check(seen)
    assert found.promise == 'it recovers'


def test_process_that_ends_or_does_not_stop_or_start_is_found():
    assert broken(ended={'host-1': 1}) == ['no exits of its own']
    assert broken(unstopped=[('host-1', 5.0)]) == ['it stops in time']
    assert broken(unready=[('host-1', 5.0)]) == ['it comes back']
