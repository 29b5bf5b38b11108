"""Costs of the decisions on contention and on unequal machines."""

import math
import random
import time

from magnoliadyke.core import balance
from magnoliadyke.core import catalog
from magnoliadyke.core import enginepace
from magnoliadyke.core import hostselection
from magnoliadyke.core import observations
from magnoliadyke.gateway import observation_codec
from magnoliadyke.gateway import observationexchange
from magnoliadyke.gateway import pace_codec
from magnoliadyke.gateway import pacereports
from magnoliadyke.gateway import placement_codec
from magnoliadyke.lab import placementcost
from magnoliadyke.lab import slopes

__all__ = ['probe', 'probe_messages']

ENGINE_SIZES = (10, 100, 450, 1800)
REPORT_SIZES = (0, 18, 64)
HOST_SIZES = (8, 90, 300, 420)
#: Numbers of engines and endpoints that a host uses in a report's interval.
USED_SIZES = (4, 24, 96, 450)
PLAIN_ENDPOINTS = 4
PAUSE_S = 0.15
EQUAL_S = 0.03
SLOW_S = 0.062
CALLS = 2000


def probe():
    """Measure the CPU time of one decision of each kind."""
    return [*probe_placement(), probe_balance(), probe_selection()]


def probe_placement():
    """Measure prompts and streams that the leader places and ends."""
    jobs = {'pause_s': PAUSE_S}
    kinds = {
        'a prompt placed and ended': (placementcost.PROMPT, None, {}),
        'a stream, engines alike': (
            placementcost.STREAM, record_alike, jobs,
        ),
        'a stream, engines of unlike pace': (
            placementcost.STREAM, record_unlike, jobs,
        ),
        'a stream with a backup, unlike pace': (
            placementcost.STREAM, record_unlike, jobs | {'backed_up': True},
        ),
    }  # fmt: skip
    return [
        slopes.Series(
            'placement leader', name, 'us', 'engines',
            [
                (size, placementcost.mean_us(size, load, paces, **fields))
                for size in ENGINE_SIZES
            ],
            ENGINE_SIZES[-1], 'each free decode engine is compared',
        )
        for name, (load, paces, fields) in kinds.items()
    ]  # fmt: skip


def record_alike(placer, now_s):
    """Record the same interval of all engines."""
    record_paces(placer, now_s, EQUAL_S)


def record_unlike(placer, now_s):
    """Record that a quarter of the decode engines take twice as long."""
    record_paces(placer, now_s, SLOW_S)


def record_paces(placer, now_s, slow_s):
    """Record the intervals of all decode engines; every fourth is slow."""
    decoding = sorted(placer.pool.decode_engines.rotation)
    intervals_s = [
        EQUAL_S if number % 4 else slow_s for number in range(len(decoding))
    ]
    placer.record_paces(
        [
            enginepace.PaceSample(engine, 20, each_s, each_s)
            for engine, each_s in zip(decoding, intervals_s, strict=True)
        ],
        now_s,
    )


def probe_balance():
    """Measure the choice of an endpoint with reports of other hosts."""
    points = []
    endpoints = [
        catalog.Endpoint(
            f'plain-{number:06}', 'service', f'10.2.0.{number}:8000',
            'domain-0', 8, False, catalog.Stage.NONE,
        )
        for number in range(PLAIN_ENDPOINTS)
    ]  # fmt: skip
    for size in REPORT_SIZES:
        balancer = balance.Balancer('domain-0', random.Random(1))
        for endpoint in endpoints:
            balancer.record_sent(endpoint.id)
            balancer.record_answer(endpoint.id, 0.02, False, 0.0)
        for number in range(size):
            balancer.shared.record(
                f'host-{number}', 1, observed(PLAIN_ENDPOINTS), 0.0
            )
        seconds = mean_cpu_s(lambda b=balancer: b.choose(endpoints, set(), 1))
        points.append((size, 1e6 * seconds))
    return slopes.Series(
        'node', 'a plain endpoint chosen of 4', 'us', 'reporting hosts',
        points, REPORT_SIZES[-1], 'at most 64 hosts are kept per endpoint',
    )  # fmt: skip


def observed(count):
    """Return observations of ``count`` endpoints."""
    return tuple(
        observations.Observation(f'plain-{number:06}', 12, 0.021, 1, 2, 0.0)
        for number in range(count)
    )


def probe_selection():
    """Measure the selection of the hosts of one answer to a caller."""
    points = []
    for size in HOST_SIZES:
        hosts = [
            hostselection.Host(
                f'10.0.{number // 250}.{number % 250}:7080',
                f'domain-{number % 5}',
                450.0 if number < max(4, size // 11) else 23.0,
            )
            for number in range(size)
        ]
        seconds = mean_cpu_s(
            lambda h=hosts: hostselection.select(h, 900.0), CALLS // 10
        )
        points.append((size, 1e6 * seconds))
    return slopes.Series(
        'node', 'hosts selected for an answer', 'us', 'hosts', points,
        HOST_SIZES[-1], 'hosts sorted by capacity',
    )  # fmt: skip


def mean_cpu_s(call, rounds=CALLS):
    """Return the mean CPU time of a call without arguments."""
    start_s = time.process_time()
    for _ in range(rounds):
        call()
    return (time.process_time() - start_s) / rounds


# Messages.


def probe_messages():
    """Work out the messages of a second from their encoded sizes."""
    paces = ('pace reports', 'a report for 24 engines, twice a second')
    seen = ('observation reports', 'one to each of 3 hosts, twice a second')
    told = ('learned paces', '24 engines to each host, every 2 s')
    rows = [
        ('node', *paces, 'engines used', pace_reports, USED_SIZES),
        ('node', *seen, 'endpoints used', observation_reports, USED_SIZES),
        ('placement leader', *told, 'hosts', learned_paces, HOST_SIZES),
        ('placement leader', f'received {paces[0]}', 'from each host, 24 '
         'engines used', 'hosts', received_pace_reports, HOST_SIZES),
    ]  # fmt: skip
    found = []
    for role, name, mechanism, size_name, messages, sizes in rows:
        sent = [(size, messages(size)) for size in sizes]
        for number, unit in enumerate(('bytes/s', 'messages/s')):
            points = [(size, each[number]) for size, each in sent]
            found.append(
                slopes.Series(
                    role, name, unit, size_name, points, sizes[-1], mechanism
                )
            )
    return found


def samples(count):
    """Return paces of ``count`` engines."""
    return tuple(
        enginepace.PaceSample(placementcost.engine_id(number), 200, 0.05, 0.15)
        for number in range(count)
    )


def pace_reports(engines):
    """Return the bytes and messages that a host sends in a second.

    :param engines: engines whose events it passes on in each interval
    """
    per_s = 1 / pacereports.REPORT_INTERVAL_S
    full, rest = divmod(engines, pace_codec.MAX_ENGINES)
    counts = [pace_codec.MAX_ENGINES] * full + [rest] * bool(rest)
    sent = sum(
        len(
            placement_codec.encode(
                pace_codec.PaceReport('model', samples(count))
            )
        )
        for count in counts
    )
    return sent * per_s, len(counts) * per_s


def received_pace_reports(hosts):
    """Return the bytes and messages that the leader receives in a second."""
    return tuple(
        each * (hosts - 1) for each in pace_reports(pace_codec.MAX_ENGINES)
    )


def learned_paces(hosts):
    """Return the bytes and messages that the leader sends in a second.

    None are sent of engines that are alike.
    """
    interval_s = pacereports.REPORT_INTERVAL_S * pacereports.TELL_INTERVALS
    message = pace_codec.LearnedPaces('model', samples(pace_codec.MAX_ENGINES))
    per_s = (hosts - 1) / interval_s
    return len(placement_codec.encode(message)) * per_s, per_s


def observation_reports(endpoints):
    """Return the bytes and messages that a host sends in a second.

    The same whatever the number of hosts, but none up to
    :data:`magnoliadyke.gateway.observationexchange.MAX_UNSHARED_HOSTS`.

    :param endpoints: endpoints that it uses in each interval
    """
    fitting = math.floor(
        observation_codec.MAX_OBSERVATIONS_BYTES
        / observation_codec.encoded_bytes(observed(1)[0])
    )
    count = min(endpoints, fitting, observation_codec.MAX_ENDPOINTS)
    message = observation_codec.ObservationReport(
        'host-100', 1_700_000_000_000, observed(count)
    )
    per_s = observationexchange.RECEIVERS
    per_s /= observationexchange.REPORT_INTERVAL_S
    return len(placement_codec.encode(message)) * per_s, per_s
