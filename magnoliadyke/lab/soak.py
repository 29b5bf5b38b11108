"""Random faults against real nodes of the platform, with promises checked.

Usage:
  magnoliadyke lab soak [--seed=N] [--minutes=M] [--hosts=N] [--keep=DIR]

Options:
  --seed=N     Seed of the faults and requests [default: 1].
  --minutes=M  Time in which faults begin, in minutes [default: 1].  Events
               that lose nothing go on for twelve seconds.
  --hosts=N    Number of nodes, each a separate process [default: 4].
  --keep=DIR   Keep settings and logs of the nodes in this directory.

The same seed draws the same faults and requests.  The exit status is 0 only
if no promise was broken; each violation is printed with its time and the ids
of its requests.
"""

import contextlib
import pathlib
import random
import sys
import tempfile
from typing import AbstractSet
from typing import Iterable

import docopt

from magnoliadyke import errors
from magnoliadyke.lab import arguments
from magnoliadyke.lab import platformday
from magnoliadyke.lab import platformmix

__all__ = ['draw', 'main']

#: Mean time between two faults: a few are in effect at any time.
MEAN_FAULT_INTERVAL_S = 0.9
#: Range from which the duration of a fault is drawn.
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
CALLERS_PER_HOST = 2
LASTING_PER_HOST = 4
#: Mean time between two graceful stops of nodes, besides those faults.
MEAN_STOP_INTERVAL_S = 5.0
#: Mean time between two events of the kinds below: an endpoint that leaves,
#: asks for backoff or has a rate limit, and says so only in its responses to
#: requests.
MEAN_NOTICE_INTERVAL_S = 5.0
RESPONSE_ONLY_KINDS = frozenset(('leave_unlisted', 'limit', 'shed'))
#: Mean time between two cuts of a host from endpoints.
MEAN_PATH_INTERVAL_S = 8.0
#: Mean time between two changes of how an endpoint frames or breaks off its
#: answers.
MEAN_FRAME_INTERVAL_S = 2.0
FRAME_KINDS = frozenset(('frame', 'break'))
#: Mean time between two new parts of prompts that crash engines.
MEAN_CRASHING_PART_INTERVAL_S = 15.0
#: Mean time between two crashes of engines with streams that have backups.
MEAN_ENGINE_KILL_INTERVAL_S = 4.0
#: Mean time between two engines that are replaced by a later version.
MEAN_RELEASE_INTERVAL_S = 4.0
#: Mean time between two events of a kind that loses nothing, and the range of
#: its duration, in seconds.
LOSSLESS_KINDS = {
    'leave_at_once': (4.0, 0.05, 0.35),
    'reload': (8.0, 0.0, 0.0),
    'silence': (2.0, 0.5, 1.5),
    'copies': (2.0, 0.5, 1.5),
}
#: Those of them that are drawn after all others, so that the faults of a seed
#: stay the same.
LATER_KINDS = frozenset(('copies',))
#: Mean time between two events of a kind of odd answers, drawn after all
#: others, in seconds.
ANSWER_KINDS = {'early': 4.0, 'ends': 2.0, 'odd_head': 4.0, 'endless': 4.0}
#: Mean time between two restores of the store beside which all nodes are
#: killed, the age of the copy, and the time of the kill after the restore.
MEAN_FORGETTING_INTERVAL_S = 30.0
MIN_COPY_AGE_S = 1.0
MAX_COPY_AGE_S = 4.0
MIN_KILL_OFFSET_S = -0.5
MAX_KILL_OFFSET_S = 3.0
#: Longest time from a change of the configuration to such an event, and from
#: that to the next change, in seconds.
MAX_CHANGE_OFFSET_S = 0.5
#: Time from the last other fault to further such events, and the time in which
#: they begin, in seconds.  Late requests to endpoints that leave are judged
#: only while the store is stable.
QUIET_DELAY_S = 4.0
QUIET_S = 8.0


def draw(seed: int, seconds: float, hosts: int) -> platformday.Plan:
    """Draw the faults of a run.

    :param seconds: time in which faults begin
    :param hosts: number of nodes
    """
    rng = random.Random(seed)
    drawn_apart = RESPONSE_ONLY_KINDS | FRAME_KINDS
    drawn_apart |= {'release', 'crashing_part', 'engine_kill', 'kill_all'}
    drawn_apart |= LOSSLESS_KINDS.keys() | ANSWER_KINDS.keys()
    drawn_apart |= platformday.PATH_RULES.keys()
    kinds = sorted(platformday.KINDS.keys() - drawn_apart)
    faults = []
    at_s = rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    while at_s < seconds:
        faults.append(
            platformday.Fault(
                round(at_s, 3),
                rng.choice(kinds),
                round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3),
                rng.randrange(1000),
            )
        )
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    at_s = rng.expovariate(1 / MEAN_STOP_INTERVAL_S)
    while at_s < seconds:
        pick = rng.randrange(1000)
        faults.append(
            platformday.Fault(round(at_s, 3), 'stop', MIN_FAULT_S, pick)
        )
        at_s += rng.expovariate(1 / MEAN_STOP_INTERVAL_S)
    at_s = rng.expovariate(1 / MEAN_NOTICE_INTERVAL_S)
    while at_s < seconds:
        kind = rng.choice(sorted(RESPONSE_ONLY_KINDS))
        pick = rng.randrange(1000)
        faults.append(
            platformday.Fault(round(at_s, 3), kind, MAX_FAULT_S, pick)
        )
        at_s += rng.expovariate(1 / MEAN_NOTICE_INTERVAL_S)
    at_s = rng.expovariate(1 / MEAN_PATH_INTERVAL_S)
    while at_s < seconds:
        kind = rng.choice(sorted(platformday.PATH_RULES))
        pick = rng.randrange(1000)
        faults.append(
            platformday.Fault(round(at_s, 3), kind, MAX_FAULT_S, pick)
        )
        at_s += rng.expovariate(1 / MEAN_PATH_INTERVAL_S)
    at_s = rng.expovariate(1 / MEAN_FRAME_INTERVAL_S)
    while at_s < seconds:
        kind = rng.choice(sorted(FRAME_KINDS))
        for_s = round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3)
        pick = rng.randrange(1000)
        faults.append(platformday.Fault(round(at_s, 3), kind, for_s, pick))
        at_s += rng.expovariate(1 / MEAN_FRAME_INTERVAL_S)
    at_s = rng.expovariate(1 / MEAN_RELEASE_INTERVAL_S)
    while at_s < seconds:
        faults.append(platformday.Fault(round(at_s, 3), 'release'))
        at_s += rng.expovariate(1 / MEAN_RELEASE_INTERVAL_S)
    at_s = rng.expovariate(1 / MEAN_CRASHING_PART_INTERVAL_S)
    while at_s < seconds:
        pick = rng.randrange(1000)
        faults.append(
            platformday.Fault(round(at_s, 3), 'crashing_part', pick=pick)
        )
        at_s += rng.expovariate(1 / MEAN_CRASHING_PART_INTERVAL_S)
    # Drawn last, so that the faults of a seed stay the same.
    mix = platformmix.draw(rng, hosts)
    at_s = rng.expovariate(1 / MEAN_ENGINE_KILL_INTERVAL_S)
    while at_s < seconds:
        faults.append(platformday.Fault(round(at_s, 3), 'engine_kill'))
        at_s += rng.expovariate(1 / MEAN_ENGINE_KILL_INTERVAL_S)
    quiet_s = seconds + QUIET_DELAY_S
    for kinds in (LOSSLESS_KINDS.keys() - LATER_KINDS, LATER_KINDS):
        faults += _draw_lossless(rng, kinds, 0.0, seconds)
        faults += _draw_lossless(rng, kinds, quiet_s, quiet_s + QUIET_S)
    faults += _draw_forgetting(random.Random(f'forgetting {seed}'), seconds)
    for kind, interval_s in ANSWER_KINDS.items():
        at_s = rng.expovariate(1 / interval_s)
        while at_s < seconds:
            for_s = round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3)
            pick = rng.randrange(1000)
            faults.append(platformday.Fault(round(at_s, 3), kind, for_s, pick))
            at_s += rng.expovariate(1 / interval_s)
    return platformday.Plan(
        seconds,
        tuple(faults),
        hosts,
        CALLERS_PER_HOST * hosts,
        LASTING_PER_HOST * hosts,
        mix=mix,
    )


def _draw_forgetting(
    rng: random.Random, seconds: float
) -> Iterable[platformday.Fault]:
    """Draw restores of the store, each with the end of all nodes near it."""
    at_s = rng.expovariate(1 / MEAN_FORGETTING_INTERVAL_S)
    while at_s < seconds:
        age_s = rng.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S)
        kill_s = at_s + age_s
        kill_s += rng.uniform(MIN_KILL_OFFSET_S, MAX_KILL_OFFSET_S)
        for fault_s, kind, for_s in (
            (at_s, 'store_restore', age_s),
            (kill_s, 'kill_all', MIN_FAULT_S),
        ):
            yield platformday.Fault(
                round(fault_s, 3), kind, round(for_s, 3), rng.randrange(1000)
            )
        at_s += rng.expovariate(1 / MEAN_FORGETTING_INTERVAL_S)


def _draw_lossless(
    rng: random.Random, kinds: AbstractSet[str], from_s: float, until_s: float
) -> Iterable[platformday.Fault]:
    """Draw events that lose nothing, each between two configurations."""
    for kind, (interval_s, min_s, max_s) in LOSSLESS_KINDS.items():
        if kind not in kinds:
            continue
        at_s = from_s + rng.expovariate(1 / interval_s)
        while at_s < until_s:
            for_s = round(rng.uniform(min_s, max_s), 3)
            pick = rng.randrange(1000)
            yield platformday.Fault(round(at_s, 3), kind, for_s, pick)
            for sign in (-1, 1):
                near_s = at_s + sign * rng.uniform(0, MAX_CHANGE_OFFSET_S)
                near_s = round(max(0.0, near_s), 3)
                yield platformday.Fault(near_s, 'configure')
            at_s += rng.expovariate(1 / interval_s)


def main(argv: list[str]) -> int:
    """Run the soak.

    :param argv: command-line arguments after ``lab soak``
    :returns: the exit status
    """
    options = docopt.docopt(__doc__, ['lab', 'soak', *argv])
    seed = arguments.parse_whole_number(options, '--seed')
    hosts = arguments.parse_whole_number(options, '--hosts')
    try:
        seconds = 60 * float(options['--minutes'])
    except ValueError:
        raise errors.UsageError(
            f'--minutes is {options["--minutes"]!r}',
            'give a number of minutes',
        ) from None
    plan = draw(seed, seconds, hosts)
    with contextlib.ExitStack() as stack:
        directory = options['--keep'] or stack.enter_context(
            tempfile.TemporaryDirectory(prefix='magnoliadyke-')
        )
        path = pathlib.Path(directory)
        path.mkdir(parents=True, exist_ok=True)
        found, seen = platformday.play(plan, seed, path)
    platformday.report(seen, found)
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
