"""Drawn faults against real nodes of the platform, and checked promises.

Usage:
  magnoliadyke lab soak [--seed=N] [--minutes=M] [--hosts=N] [--keep=DIR]

Options:
  --seed=N     Which faults and requests are drawn [default: 1].
  --minutes=M  How long faults come, in minutes [default: 1].
  --hosts=N    Nodes, each a process of its own [default: 4].
  --keep=DIR   Keep settings and logs of the nodes in this directory.

The same seed draws the same faults and requests.  Exit status 0 only if no
promise was broken; each broken one is named with the request ids and times.
"""

import contextlib
import pathlib
import random
import sys
import tempfile

import docopt

from magnoliadyke import errors
from magnoliadyke.lab import arguments
from magnoliadyke.lab import platformday

__all__ = ['draw', 'main']

#: Mean time between two faults, in seconds: a few are on at any time.
MEAN_FAULT_INTERVAL_S = 0.9
#: How long a fault lasts, in seconds.
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
CALLERS_PER_HOST = 2
LASTING_PER_HOST = 4
#: Mean time between two stops that come beside those faults, in seconds.
MEAN_STOP_INTERVAL_S = 5.0
#: Mean time between two endpoints that say something in answers only, in
#: seconds, and the kinds of that.
MEAN_NOTICE_INTERVAL_S = 5.0
RESPONSE_ONLY_KINDS = frozenset(('leave_unlisted', 'shed'))


def draw(seed: int, seconds: float, hosts: int) -> platformday.Plan:
    """Draw the faults of a run."""
    rng = random.Random(seed)
    kinds = sorted(platformday.KINDS.keys() - RESPONSE_ONLY_KINDS)
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
    return platformday.Plan(
        seconds,
        tuple(faults),
        hosts,
        CALLERS_PER_HOST * hosts,
        LASTING_PER_HOST * hosts,
    )


def main(argv: list[str]) -> int:
    """Play drawn faults.

    :returns: the exit status
    """
    options = docopt.docopt(__doc__, ['lab', 'soak', *argv])
    seed = arguments.parse_whole_number(options, '--seed')
    hosts = arguments.parse_whole_number(options, '--hosts')
    try:
        seconds = 60 * float(options['--minutes'])
    except ValueError:
        raise errors.UsageError(
            f'--minutes is {options["--minutes"]!r}', 'give a number'
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
