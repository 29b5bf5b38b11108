"""The checker of days on the platform finds each broken promise."""

import pytest

from magnoliadyke.core import answerend
from magnoliadyke.lab import platformcheck
from magnoliadyke.lab import platformendpoint

WHOLE = platformcheck.expected_stream(5)


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
    return platformcheck.CallerRequest(request_id, kind, **(values | fields))


def endpoint(*ids, at_s=100.0, name='p1'):
    made = platformendpoint.EndpointStandIn(name, 'plain')
    made.from_s = 0.0
    for request_id in ids:
        headers = {b'x-request-id': request_id.encode()}
        made.arrivals.append(
            platformendpoint.Arrival(at_s, b'GET', b'/', headers, b'', True)
        )
    return made


def evidence(*requests, endpoints=(), **fields):
    calm = [one(f'calm{n}', sent_s=200.0, ended_s=200.1) for n in range(40)]
    values = {
        'disturbed': [],
        'leaving': [],
        'calm_s': 190.0,
        'events': 5,
        'ended': {},
        'unstopped': [],
        'unready': [],
        'stops': [],
        'limits': [],
    }
    return platformcheck.Evidence(
        [*requests, *calm], list(endpoints), **(values | fields)
    )


def broken(*requests, **fields):
    found = platformcheck.check(evidence(*requests, **fields))
    return [violation.promise for violation in found]


def disturbed(what, from_s=99.0, to_s=101.0, stopping=False):
    return platformcheck.Disturbance(what, from_s, to_s, stopping)


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
        (one(status=404), 'valid requests are accepted'),
        (one(sealed=False), 'only endpoints answer with success'),
        (one(body=b'answer to another'), 'answers are whole'),
        (one(body=b'answer'), 'answers are whole'),
        (one(kind='chat', body=WHOLE[:40]), 'streams are whole'),
        (
            one(kind='chat', body=WHOLE[:20] + WHOLE, complete=False),
            'each event is delivered once',
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


def test_untrue_not_run_of_a_stream_is_found():
    """Only requests with a body were judged."""
    tried = one('a', 'once', status=503)
    assert broken(tried) == []
    assert broken(tried, endpoints=[endpoint('a')]) == ['"not run" is true']


def test_error_of_a_node_is_found():
    """Its callers got 500, or 503, which looked like a full system."""
    line = 'level=error host=host-1 event=request_error error=AttributeError'
    assert broken(errors=[('host-1', line)]) == [
        'nodes log no errors of their own'
    ]


def test_request_that_nobody_sent_is_found():
    assert broken(endpoints=[endpoint('x')]) == [
        'only requests of callers are executed'
    ]


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


#: Told at 100.0 s with 6 s to go: 103.0 s is late, 105.0 s near the end.
STOPS = [platformcheck.Stop('host-1', 100.0, 105.4, 6.0)]
TAKEN = 'stopping hosts end what they take'


def worked(until_s, broke=False):
    made = endpoint('a')
    made.arrivals[0].until_s = until_s
    made.arrivals[0].aborted = broke
    return [made]


def given_up(sent_s=103.5, ended_s=105.3, **fields):
    values = {'kind': 'slow', 'status': 504, 'wait_s': 5.0}
    return one('a', sent_s=sent_s, ended_s=ended_s, **(values | fields))


@pytest.mark.parametrize(
    ('tried', 'until_s'),
    [
        (given_up(), 105.3),
        (given_up(kind='long', status=200, complete=False), 105.3),
        (given_up(sent_s=101.0, ended_s=104.0), 104.0),
        (given_up(sent_s=101.0), 104.9),
        (given_up(status=0, complete=False), 105.3),
    ],
)
def test_work_that_a_stopping_host_took_and_gave_up_is_found(tried, until_s):
    found = broken(tried, endpoints=worked(until_s), stops=STOPS)
    assert TAKEN in found


def test_request_that_a_stopping_host_left_without_a_word_is_found():
    silent = given_up(status=0, complete=False)
    assert TAKEN in broken(silent, stops=STOPS)
    crossing = given_up(status=0, complete=False, ended_s=104.0)
    assert TAKEN not in broken(crossing, stops=STOPS)


def test_stopping_host_may_refuse_what_has_not_run():
    refused = given_up(status=503, ended_s=103.6)
    assert broken(refused, stops=STOPS) == []


def test_early_work_may_be_given_up_at_the_end_of_the_grace_time():
    early = given_up(sent_s=102.9)
    assert broken(early, endpoints=worked(105.3), stops=STOPS) == []
    cut = given_up(sent_s=102.9, kind='long', status=200, complete=False)
    cut.body = WHOLE[:20]
    assert broken(cut, endpoints=worked(105.3), stops=STOPS) == []
    silent = given_up(sent_s=102.9, status=0, complete=False)
    assert broken(silent, endpoints=worked(105.3), stops=STOPS) == [
        'each request is answered'
    ]
    assert broken(cut, endpoints=worked(104.9), stops=STOPS) == [
        'each request is answered',
        TAKEN,
    ]


@pytest.mark.parametrize(
    ('tried', 'fields'),
    [
        (given_up(wait_s=1.8), {}),
        (given_up(), {'endpoints': worked(104.0, broke=True)}),
        (given_up(), {'disturbed': [disturbed('host-1', 100.0, 101.0)]}),
        (given_up(host='host-2'), {}),
        (given_up(sent_s=99.0, ended_s=99.9), {}),
        (given_up(sent_s=105.5, ended_s=106.0), {}),
    ],
)
def test_what_is_not_the_fault_of_a_stop_is_not_found(tried, fields):
    values = {'endpoints': worked(105.3)} | fields
    assert TAKEN not in broken(tried, stops=STOPS, **values)


@pytest.mark.parametrize(
    'other',
    [
        disturbed('host-1', 100.0, 101.0, stopping=True),
        disturbed('host-2', 100.0, 106.0),
        disturbed('endpoints', 100.0, 106.0),
        disturbed('store', 100.0, 106.0),
    ],
)
def test_faults_elsewhere_excuse_no_stopping_host(other):
    found = broken(
        given_up(),
        endpoints=worked(105.3),
        stops=STOPS,
        disturbed=[other],
    )
    assert found == [TAKEN]


def test_time_of_a_long_stream_may_be_over_in_its_middle():
    cut = given_up(kind='long', status=200, complete=False, wait_s=1.8)
    cut.body = WHOLE[:20]
    assert broken(cut) == []
    cut.wait_s = 5.0
    assert broken(cut) == ['each request is answered']


def test_stream_may_break_only_while_endpoints_are_disturbed():
    cut = one('a', 'chat', body=WHOLE[:20], complete=False)
    assert broken(cut, disturbed=[disturbed('endpoints')]) == []
    assert broken(cut) == ['each request is answered']


def test_stream_cut_at_a_sound_endpoint_is_found_beside_other_faults():
    """A stream was cut as its engine was silent while another one crashed."""
    cut = one('a', 'once', body=WHOLE[:20], complete=False)
    engine = endpoint('a')
    fields = {'endpoints': [engine], 'disturbed': [disturbed('endpoints')]}
    assert broken(cut, **fields) == ['each request is answered']
    engine.arrivals[0].aborted = True
    assert broken(cut, **fields) == []
    engine.arrivals[0].aborted = False
    cut.wait_s = 0.1
    assert broken(cut, **fields) == []


@pytest.mark.parametrize('elsewhere', ('host-1', 'host-2'))
def test_stream_cut_by_a_host_out_of_touch_is_not_found(elsewhere):
    """Neither the host that was asked nor the one that passed it on."""
    cut = one('a', 'once', body=WHOLE[:20], complete=False)
    engine = endpoint('a')
    engine.arrivals[0].sender = '127.0.0.2'
    fields = {'endpoints': [engine], 'hosts': {'127.0.0.2': 'host-2'}}
    both = [disturbed('endpoints'), disturbed(elsewhere)]
    assert broken(cut, **fields, disturbed=both) == []
    both[1] = both[1]._replace(what='host-3')
    assert broken(cut, **fields, disturbed=both)
    path = platformcheck.PathCut(elsewhere, 96.0, 98.0)
    assert broken(cut, **fields, disturbed=both, path_cuts=[path]) == []


def test_late_work_for_a_leaving_endpoint_is_found():
    leaving = [platformcheck.Leaving('p1', 90.0)]
    late = endpoint('a', at_s=95.0)
    assert broken(one('a'), endpoints=[late], leaving=leaving) == [
        'leaving endpoints get no new requests'
    ]
    store = [disturbed('store', 89.0, 91.0)]
    assert (
        broken(one('a'), endpoints=[late], leaving=leaving, disturbed=store)
        == []
    )


def late_at(reached_s, *faults, sent_to='host-1', **fields):
    """Promises broken by a request to an endpoint that left at 90.0 s."""
    late = endpoint('a', at_s=reached_s)
    late.arrivals[0].sender = '127.0.0.1'
    for field, value in fields.items():
        setattr(late.arrivals[0], field, value)
    return broken(
        one('a', host=sent_to, sent_s=reached_s, ended_s=reached_s + 0.1),
        endpoints=[late],
        leaving=[platformcheck.Leaving('p1', 90.0)],
        disturbed=list(faults),
        hosts={'127.0.0.1': 'host-1'},
    )


LATE = ['leaving endpoints get no new requests']


def test_late_work_is_found_whatever_happens_to_other_hosts():
    """Hosts in touch sent requests while others were killed and paused."""
    other = disturbed('host-2', 89.0, 99.0)
    assert late_at(92.4, other) == LATE
    assert late_at(92.2, other) == []
    assert late_at(92.4, other, run=False) == LATE
    assert late_at(92.4, other, misdirected=True) == []
    assert late_at(92.4, other, sent_to='host-2') == []
    own = disturbed('host-1', 80.0, 89.5)
    assert late_at(92.4, own) == []
    assert late_at(92.6, own) == LATE


def test_late_work_is_found_only_where_the_store_was_stable():
    assert late_at(93.4, disturbed('store', 80.0, 86.9)) == LATE
    assert late_at(93.4, disturbed('store', 80.0, 87.1)) == []
    assert late_at(93.4, disturbed('store', 90.2, 90.3)) == LATE
    assert late_at(93.4, disturbed('store', 90.2, 90.5)) == []


def test_request_that_waited_at_a_silent_endpoint_is_not_late():
    other = disturbed('host-2', 89.0, 99.0)
    assert late_at(92.8, other, silence_s=0.6) == []
    assert late_at(92.8, other, silence_s=0.4) == LATE


def test_late_work_for_a_former_process_of_the_name_is_not_meant():
    """The endpoint had started again under its name before it left."""
    former = endpoint('a', at_s=95.0)
    former.gone_s = 85.0
    leaving = [platformcheck.Leaving('p1', 90.0)]
    fields = {'leaving': leaving, 'endpoints': [former, endpoint()]}
    assert broken(one('a'), **fields) == []
    former.gone_s = 96.0
    assert broken(one('a'), **fields) == LATE


def test_failures_after_the_last_fault_are_found():
    failed = [
        one(f'f{n}', status=503, sent_s=200.0, ended_s=200.1) for n in range(9)
    ]
    assert broken(*failed) == ['requests succeed after the last fault']


def test_nobody_asking_is_no_proof():
    seen = evidence()._replace(requests=[])
    (found,) = platformcheck.check(seen)
    assert found.promise == 'requests succeed after the last fault'


def test_process_that_ends_or_does_not_stop_or_start_is_found():
    assert broken(ended={'host-1': 1}) == ['nodes do not exit by themselves']
    assert broken(unstopped=[('host-1', 5.0)]) == ['nodes stop in time']
    assert broken(unready=[('host-1', 5.0)]) == [
        'nodes are ready in time after a start'
    ]


def said(sent_s, name='p1', **fields):
    """An arrival at an endpoint whose answer tells something."""
    made = endpoint(name, at_s=sent_s).arrivals[0]
    for field, value in fields.items():
        setattr(made, field, value)
    return made


def at_one_endpoint(*arrivals, **fields):
    """What is broken where these came from one host."""
    made = platformendpoint.EndpointStandIn('p1', 'plain')
    made.arrivals = list(arrivals)
    requests = [
        one(
            arrival.id.decode(),
            sent_s=arrival.at_s,
            ended_s=arrival.at_s + 0.2,
        )
        for arrival in arrivals
    ]
    return broken(*requests, endpoints=[made], **fields)


LEAVE = 'hosts heed an announced departure'
BACKOFF = 'hosts back off when asked to'


def test_request_to_an_endpoint_that_told_its_host_of_a_leave_is_found():
    told = said(100.0, 'c1', leaving_announced=True, ended=True)
    assert at_one_endpoint(told, said(102.4, 'c2')) == []
    assert at_one_endpoint(told, said(102.6, 'c2')) == [LEAVE]
    restarted = disturbed('host-1', 101.0, 102.0)
    assert LEAVE not in at_one_endpoint(
        told, said(102.6, 'c2'), disturbed=[restarted]
    )


def test_requests_to_an_endpoint_that_asked_to_back_off_are_found():
    told = said(100.0, 'c1', backoff_s=2.0, run=False)
    within = [said(100.6 + n / 10, f'd{n}') for n in range(3)]
    assert at_one_endpoint(told, *within) == [BACKOFF]
    assert at_one_endpoint(told, *within[:2]) == []
    after = [said(102.1 + n / 10, f'd{n}') for n in range(3)]
    assert at_one_endpoint(told, *after) == []


def test_host_that_sent_a_request_is_the_one_asked_to_back_off():
    """A request that was passed on concerns the host that sent it."""
    known = {'127.0.0.1': 'host-1', '127.0.0.2': 'host-2'}
    told = said(100.0, 'c1', backoff_s=2.0, run=False, sender='127.0.0.2')
    own, others = (
        [said(100.6 + n / 10, f'd{n}', sender=ip) for n in range(3)]
        for ip in known
    )
    assert at_one_endpoint(told, *own, hosts=known) == []
    assert at_one_endpoint(told, *others, hosts=known) == [BACKOFF]


def limited(*times_s):
    """Promises broken where requests came while a limit was named."""
    made = platformendpoint.EndpointStandIn('p1', 'plain')
    made.arrivals = [
        said(at_s, f'l{number}', rate_limit=b'2')
        for number, at_s in enumerate(times_s)
    ]
    requests = [
        one(each.id.decode(), sent_s=each.at_s, ended_s=each.at_s + 0.1)
        for each in made.arrivals
    ]
    limit = platformcheck.Limit('p1', 2.0, 100.0, 115.0)
    return broken(*requests, endpoints=[made], limits=[limit])


def test_requests_beyond_the_limit_of_an_endpoint_are_found():
    """Allowed are 1.5 times 2 a second for 4 s, and 5 more."""
    broken_limit = ['hosts together keep the limits of endpoints']
    early = [100.1 + n / 100 for n in range(60)]
    assert limited(*early) == []
    assert limited(*early, *(104.0 + n / 10 for n in range(17))) == []
    assert (
        limited(*early, *(104.0 + n / 10 for n in range(18))) == broken_limit
    )
    assert limited(*early, *(104.0 + n / 3 for n in range(33))) == []


def test_requests_that_waited_at_a_silent_endpoint_count_as_they_came():
    """Those that it reads at once after its silence came one by one."""
    made = platformendpoint.EndpointStandIn('p1', 'plain')
    made.arrivals = [
        said(100.0, 'l0', rate_limit=b'2'),
        *(said(104.0, f'l{n}', rate_limit=b'2') for n in range(1, 19)),
    ]
    requests = [
        one(each.id.decode(), sent_s=each.at_s, ended_s=each.at_s + 0.1)
        for each in made.arrivals
    ]
    limit = platformcheck.Limit('p1', 2.0, 99.0, 115.0)
    fields = {'endpoints': [made], 'limits': [limit]}
    assert broken(*requests, **fields) == [
        'hosts together keep the limits of endpoints'
    ]
    for number, each in enumerate(made.arrivals[1:]):
        each.silence_s = 0.1 * number
    assert broken(*requests, **fields) == []


def test_use_of_a_limit_is_reported():
    made = endpoint('a')
    made.arrivals = [
        said(100.0 + n, f'l{n}', rate_limit=b'2') for n in range(15)
    ]
    limit = platformcheck.Limit('p1', 2.0, 100.0, 115.0)
    seen = evidence(endpoints=[made], limits=[limit])
    (share,) = platformcheck.limit_use(seen)
    assert 0.45 < share < 0.55


CUT = platformcheck.PathCut('host-1', 96.0, 104.0)
PATH_PROMISE = 'callers of hosts without endpoints are served'


def tries(served, failed, host='host-1'):
    """Requests to a host, sent while it was cut off from endpoints."""
    failure = {'status': 503, 'sealed': False, 'body': b''}
    return [
        one(f'{host}-{n}', host=host, **({} if n < served else failure))
        for n in range(served + failed)
    ]


def test_host_without_endpoints_that_refuses_its_callers_is_found():
    found = broken(*tries(2, 18), *tries(40, 0, 'host-2'), path_cuts=[CUT])
    assert found == [PATH_PROMISE]


def test_host_without_endpoints_that_serves_its_callers_is_not():
    requests = (*tries(15, 5), *tries(40, 0, 'host-2'))
    assert broken(*requests, path_cuts=[CUT]) == []


def test_endpoints_that_nobody_is_served_by_are_no_fault_of_one_host():
    requests = (*tries(2, 18), *tries(4, 36, 'host-2'))
    assert broken(*requests, path_cuts=[CUT]) == []


def test_request_through_a_frozen_host_is_excused_during_a_cut_only():
    """The host that was cut off could not tell, and may not repeat it."""
    lost = one('c1', complete=False, status=0, ended_s=103.0)
    frozen = [disturbed('host-2')]
    assert broken(lost, disturbed=frozen)
    assert not broken(lost, disturbed=frozen, path_cuts=[CUT])


def stream(request_id, version, first=1, last=5, **fields):
    body = b''.join(
        b'id: %d\ndata: piece %d\n: %s\n\n' % (n, n, version)
        for n in range(first, last + 1)
    )
    whole = {'body': body, 'complete': last == 5, 'ended_s': 100.5}
    return one(request_id, 'chat', **(whole | fields))


def test_stream_of_two_versions():
    began = stream('c1', b'v1', last=2)
    same = stream('c1-u0', b'v1', first=3, resumes='c1', after=2)
    other = stream('c1-u0', b'v2', first=3, resumes='c1', after=2)
    cut = [disturbed('endpoints')]
    assert broken(began, same, disturbed=cut) == []
    promise = 'streams hold one software version'
    assert broken(began, other, disturbed=cut) == [promise]
    mixed = stream('c2', b'v1')
    mixed.body = mixed.body.replace(b': v1', b': v2', 1)
    assert broken(mixed) == [promise]


def test_events_of_a_stream_that_was_taken_up():
    again = stream('c1-u0', b'v1', first=2, resumes='c1', after=2)
    assert broken(again) == ['streams are whole']
    cut = stream('c2', b'v1', last=2)
    cut.body += b'id: 3\ndata: piece 3\n: v'
    assert broken(cut, disturbed=[disturbed('endpoints')]) == []
    cut.body += b'1\n\nid: 3\n'
    assert broken(cut, disturbed=[disturbed('endpoints')]) == [
        'each event is delivered once'
    ]


def test_streams_that_do_not_go_on():
    engines = [
        platformendpoint.EndpointStandIn(f'd{n}', 'model', 'decode')
        for n in (1, 2)
    ]
    for engine in engines:
        engine.from_s = 0.0
    requests = []
    for number in range(12):
        requests.append(stream(f'c{number}', b'v1', last=2))
        taken = one(
            f'c{number}-u0',
            'chat',
            status=503 if number < 7 else 200,
            body=b'' if number < 7 else stream('', b'v1', first=3).body,
            resumes=f'c{number}',
            after=2,
        )
        requests.append(taken)
    found = broken(
        *requests, endpoints=engines, disturbed=[disturbed('endpoints')]
    )
    assert found == ['streams that are taken up go on']
    engines[0].to_s = 50.0
    found = broken(
        *requests, endpoints=engines, disturbed=[disturbed('endpoints')]
    )
    assert found == []


def crashing(count, late, sender='host-1'):
    """Engines that a part crashed, and requests with it after that."""
    made = platformendpoint.EndpointStandIn('d1', 'model', 'decode')
    times = [100.0 + number for number in range(count)]
    times += [times[-1] + 4.0 + number for number in range(late)]
    for number, at_s in enumerate(times):
        headers = {
            b'x-request-id': b'g%d' % number,
            b'x-prompt-prefix': b'1:40,66:40,%x:60' % (1000 + number),
        }
        arrival = platformendpoint.Arrival(at_s, b'GET', b'/', headers, b'')
        arrival.run = arrival.crashed = number < count
        arrival.sender = sender
        made.arrivals.append(arrival)
    sent = [
        one(f'g{number}', 'once', sent_s=at_s, is_crashing=True, status=502)
        for number, at_s in enumerate(times)
    ]
    return broken(
        *sent,
        endpoints=[made],
        crashing_parts=[0x66],
        hosts={'host-1': 'host-1', 'host-2': 'host-2'},
        disturbed=[disturbed('host-2', 90.0, 300.0)],
    )


def test_requests_that_go_on_to_crash_engines_are_found():
    promise = 'a part that crashes engines is stopped'
    assert crashing(5, 4) == [promise]
    assert crashing(5, 3) == []
    assert crashing(4, 4) == []
    assert crashing(5, 4, 'host-2') == []


def backed(number, lost=True, **fields):
    """A stream with a backup, and its run at the engine that was killed."""
    run = endpoint(f'b{number}', at_s=100.0).arrivals[0]
    run.killed, run.until_s = lost, 101.0
    return one(f'b{number}', 'backed', ended_s=102.0, **fields), run


def engines_of(*runs, other='v1'):
    """An engine that was killed at 101.0 s, and another one."""
    engines = [
        platformendpoint.EndpointStandIn(name, 'model', 'decode', version=each)
        for name, each in (('d1', 'v1'), ('d2', other))
    ]
    for engine in engines:
        engine.from_s = 0.0
    engines[0].arrivals = list(runs)
    engines[0].gone_s = engines[0].to_s = 101.0
    return engines


def test_stream_that_runs_at_two_engines_at_once_is_found():
    """Its old run went on after it was continued from a backup."""
    request, old = backed(1, lost=False)
    new = endpoint('b1', at_s=100.9).arrivals[0]
    old.until_s = float('inf')
    engines = engines_of(old)
    engines[1].arrivals = [new]
    assert broken(request, endpoints=engines) == ['streams run at one engine']
    new.at_s = 101.1
    assert broken(request, endpoints=engines) == []
    engines[0].gone_s = 102.0
    assert broken(request, endpoints=engines) == ['streams run at one engine']
    old.until_s = 101.0
    assert broken(request, endpoints=engines) == []


def test_streams_that_end_with_their_engine_though_they_have_backups():
    """Of eight streams only three went on at the engine with the backup."""
    cut = {'body': WHOLE[:40], 'complete': False}
    lost = [backed(n, **(cut if n < 5 else {})) for n in range(8)]
    requests = [request for request, _ in lost]
    runs = [run for _, run in lost]
    fields = {'disturbed': [disturbed('endpoints')]}
    promise = 'streams with a backup go on'
    found = broken(*requests, endpoints=engines_of(*runs), **fields)
    assert found == [promise]
    few = engines_of(*runs[1:])
    assert not broken(*requests[1:], endpoints=few, **fields)
    other = engines_of(*runs, other='v2')
    assert not broken(*requests, endpoints=other, **fields)
    half = [backed(4)[0], *requests[:4], *requests[5:]]
    assert not broken(*half, endpoints=engines_of(*runs), **fields)


def test_workspace_that_is_not_served_is_found():
    """All others were served, so that few of all requests failed."""
    requests = [
        one(f'w{n}', sent_s=200.0, workspace='w1' if n < 90 else 'w2')
        for n in range(400)
    ]
    small = [
        one(f's{n}', status=503, sent_s=200.0, workspace='w3')
        for n in range(10)
    ]
    assert broken(*requests, *small) == ['each workspace is served']
    assert broken(*requests, *small[1:]) == []
    small[:3] = [one(f's{n}', sent_s=200.0, workspace='w3') for n in range(3)]
    assert broken(*requests, *small) == []


def sized(number, tokens, served):
    request = one(f'c{number}', 'chat', status=200 if served else 503)
    request.prompt = ('X-Model: m', f'X-Token-Counts: {tokens},5')
    return request


@pytest.mark.parametrize(
    'largest, fifth, found',
    [(30, 30, 0), (15, 60, 0), (14, 60, 1), (30, 29, 1), (14, 29, 2)],
)
def test_size_that_is_hardly_served_is_found(largest, fifth, found):
    """All others were served, so that few of all requests failed."""
    requests = [sized(n, 1000, n < 300 - largest - fifth) for n in range(350)]
    requests += [sized(500 + n, 4000, n < fifth) for n in range(100)]
    requests += [sized(700 + n, 9000, n < largest) for n in range(50)]
    served = [endpoint(*(each.id for each in requests if each.status == 200))]
    promises = broken(*requests, endpoints=served)
    assert promises == ['each size is served'] * found


def test_sizes_are_not_judged_by_few_prompts():
    requests = [sized(n, 1000, True) for n in range(180)]
    requests += [sized(200 + n, 9000, False) for n in range(20)]
    assert broken(*requests) == []


@pytest.mark.parametrize(
    'fields',
    [{'status': 600}, {'status': 204}, {'invalid': 'status: got 099'}],
)
def test_answer_that_means_nothing_is_found(fields):
    assert 'hosts answer in HTTP' in broken(one(**fields))


def test_success_that_no_endpoint_gave_whole_is_found():
    """An answer whose bytes were all sent before a reset passed for whole."""
    reset = endpoint('c1')
    reset.runs[0].aborted = True
    found = broken(one(), endpoints=[reset])
    assert found == ['successes are given whole']
    assert broken(one(), endpoints=[reset, endpoint('c1', name='p2')]) == []


def test_node_with_too_much_memory_is_found():
    limit = platformcheck.MAX_MEMORY_KIB
    assert broken(memory_kib={'host-1': limit}) == []
    assert broken(memory_kib={'host-1': limit + 1}) == [
        'nodes keep to their memory'
    ]


def _closed(kind, request_id='c1', is_alone=True, names=('e1',)):
    """A stream that its engines end after two events, and the engines."""
    engines = []
    for number, name in enumerate(names):
        made = endpoint(*([request_id] * (not number)), name=name)
        made.stage = 'decode'
        for run in made.runs:
            run.aborted, run.closed_alone = True, is_alone
            run.until_s = 100.1
        engines.append(made)
    marked = platformcheck.expected_stream(2).replace(b'\n\n', b'\n: v1\n\n')
    return one(request_id, kind, body=marked), engines


@pytest.mark.parametrize(
    'kind, is_alone, names, found',
    [
        ('once', True, ('e1', 'e2'), []),
        ('once', False, ('e1', 'e2'), ['streams are whole']),
        ('chat', True, ('e1', 'e2'), ['streams are whole']),
        ('chat', True, ('e1',), []),
    ],
)
def test_close_between_events_ends_only_what_nothing_tells_from_whole(
    kind, is_alone, names, found
):
    request, engines = _closed(kind, is_alone=is_alone, names=names)
    assert broken(request, endpoints=engines) == found


@pytest.mark.parametrize(
    'kind, after_s, found',
    [
        ('once', 0.01, []),
        ('once', 0.2, ['each request is answered']),
        ('chat', 0.01, ['each request is answered']),
    ],
)
def test_end_beside_a_break_may_pass_for_a_break(kind, after_s, found):
    """A whole stream without a frame ends as its engine ends others."""
    engine = endpoint('c1', 'c2')
    whole, other = engine.runs
    whole.framing = answerend.Framing.CLOSE
    whole.ended, other.aborted = True, True
    whole.until_s, other.until_s = 100.1, 100.1 + after_s
    disturbed = [platformcheck.Disturbance('endpoints', 99.0, 101.0)]
    requests = [one('c1', kind, complete=False), one('c2', status=502)]
    assert broken(*requests, endpoints=[engine], disturbed=disturbed) == found
