"""Faults of a run: their kinds, drawn schedules and schedule files.

A schedule file has one JSON object a line::

    {"at_s": 4.0, "kind": "pause_host", "target": "entry-2", "for_s": 8.0}

``at_s`` counts from the start of the load, ``target`` may be left out (one
is drawn), and ``with`` holds what a kind wants to know beyond that.
"""

import json
import typing

from magnoliadyke import errors

__all__ = ['KINDS', 'Fault', 'Kind', 'Targets', 'draw', 'read']

HOST = 'host'
ENGINE = 'engine'
ENDPOINT = 'endpoint'
DOMAIN = 'failure domain'
NO_TARGET = ''


class Kind(typing.NamedTuple):
    """A kind of fault.

    :param target: what it strikes
    :param for_s: range from which its length is drawn
    :param planned: an operator's planned change, not a failure
    """

    target: str
    for_s: tuple[float, float]
    effect: str
    planned: bool = False


KINDS = {
    'kill_host': Kind(
        HOST,
        (3, 10),
        'kill -9; a new process after for_s; {"holder": true} for the host '
        'that plans a pool',
    ),
    'pause_host': Kind(
        HOST, (4, 14), 'SIGSTOP, then SIGCONT; {"holder": true} as before'
    ),
    'cut_store': Kind(
        HOST,
        (4, 9),
        'nothing passes between host and store; '
        '{"way": "to" | "from"} for one way',
    ),
    'cut_peers': Kind(
        HOST,
        (4, 9),
        'nothing passes between host and other hosts; {"way": ...}',
    ),
    'cut_endpoints': Kind(
        HOST, (3, 7), 'nothing passes between host and endpoints; {"way": ...}'
    ),
    'cut_domain': Kind(
        DOMAIN, (4, 9), 'its hosts reach neither the store nor other hosts'
    ),
    'links_silent': Kind(
        HOST, (0, 0), 'its open connections say nothing for good'
    ),
    'store_down': Kind(
        NO_TARGET, (4, 10), 'no answers; {"mode": "refuse" | "hang"}'
    ),
    'store_slow': Kind(NO_TARGET, (4, 8), '{"delay_s": N} for each call'),
    'store_reply_lost': Kind(
        NO_TARGET, (0, 0), 'writes take effect unanswered; {"count": N}'
    ),
    'store_restored': Kind(
        NO_TARGET, (0, 0), 'the store goes back by {"age_s": N}'
    ),
    'engine_crash': Kind(
        ENGINE, (2, 4), 'the process dies; a new one after for_s'
    ),
    'crash_in_change': Kind(
        ENGINE, (8, 8), 'it dies half-way through its next role change'
    ),
    'change_fails': Kind(
        ENGINE, (8, 8), 'its next role change ends in the old role'
    ),
    'command_reply_lost': Kind(
        ENGINE, (0, 0), 'its next command takes effect unanswered'
    ),
    'engine_silent': Kind(
        ENGINE, (0, 0), 'its open streams say nothing for good'
    ),
    'crashing_request': Kind(
        NO_TARGET, (6, 6), 'a caller sends, and resends, what kills engines'
    ),
    'clashing_edits': Kind(
        NO_TARGET, (2, 2), 'two operators change the same cells at once'
    ),
    'endpoint_leaves': Kind(
        ENDPOINT, (6, 8), 'it says so, leaves, and comes back', True
    ),
    'drain_endpoint': Kind(
        ENDPOINT, (6, 8), 'an operator drains it, and undoes it', True
    ),
    'stop_host': Kind(
        HOST, (4, 8), 'SIGTERM; a new process once it has ended', True
    ),
    'replace_hosts': Kind(
        NO_TARGET, (60, 60), 'each host in turn is stopped and replaced', True
    ),
}
#: Too long for a run of ordinary length.
EXCLUDED_KINDS = frozenset({'replace_hosts'})
#: Of the hosts that are killed or paused, those that plan a pool.
LEASE_HOLDER_SHARE = 0.5
MIN_FIRST_FAULT_S = 3.0
MAX_FIRST_FAULT_S = 9.0
#: Of two faults, the second comes while the first is felt.
SECOND_FAULT_DELAY_S = (0.0, 5.0)


class Fault(typing.NamedTuple):
    """One line of a schedule.

    :param detail: what the line has under ``with``
    """

    at_s: float
    kind: str
    target: str = ''
    for_s: float = 0.0
    detail: dict = {}


class Targets(typing.NamedTuple):
    """Names that faults may strike, by what a kind wants."""

    hosts: tuple[str, ...]
    engines: tuple[str, ...]
    endpoints: tuple[str, ...]
    domains: tuple[str, ...]

    def names_of(self, what):
        """Names of one sort."""
        return {
            HOST: self.hosts,
            ENGINE: self.engines,
            ENDPOINT: self.endpoints,
            DOMAIN: self.domains,
            NO_TARGET: ('',),
        }[what]


def draw(targets, rng, count, number):
    """A schedule of ``count`` faults.

    The kind of the first goes round with the number of the run, so that as
    many runs as there are kinds have each kind once at least.

    :param rng: source of randomness
    """
    names = sorted(KINDS.keys() - EXCLUDED_KINDS)
    at_s = rng.uniform(MIN_FIRST_FAULT_S, MAX_FIRST_FAULT_S)
    kind = names[number % len(names)]
    faults = [draw_one(targets, rng, at_s, kind)]
    while len(faults) < count:
        later_s = at_s + rng.uniform(*SECOND_FAULT_DELAY_S)
        kind = rng.choice(names)
        faults.append(draw_one(targets, rng, later_s, kind))
    return faults


def draw_one(targets, rng, at_s, kind):
    """One fault of a kind."""
    for_s = round(rng.uniform(*KINDS[kind].for_s), 1)
    detail = {}
    if kind in ('cut_store', 'cut_peers', 'cut_endpoints'):
        detail['way'] = rng.choice(('both', 'both', 'to', 'from'))
    if kind in ('kill_host', 'pause_host'):
        detail['holder'] = rng.random() < LEASE_HOLDER_SHARE
    if kind == 'store_down':
        detail['mode'] = rng.choice(('refuse', 'hang'))
    target = rng.choice(targets.names_of(KINDS[kind].target))
    return Fault(round(at_s, 1), kind, target, for_s, detail)


def read(lines, path, targets, rng):
    """Read a schedule.

    :param lines: of the file
    :param path: of the file, for messages
    :raises UsageError: that names the line and the remedy
    """
    faults = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            faults.append(read_line(line, targets, rng))
        except (ValueError, TypeError, KeyError) as error:
            raise errors.UsageError(
                f'{path}, line {number}: {error}',
                'write {"at_s": SECONDS, "kind": KIND, "target": NAME, '
                '"for_s": SECONDS, "with": {...}}',
            ) from error
    return sorted(faults, key=lambda fault: fault.at_s)


def read_line(line, targets, rng):
    """One fault of a schedule file."""
    row = json.loads(line)
    kind = row['kind']
    if kind not in KINDS:
        raise ValueError(f'kind {kind!r} is none of ' + ', '.join(KINDS))
    fault = draw_one(targets, rng, float(row['at_s']), kind)
    names = targets.names_of(KINDS[kind].target)
    target = row.get('target', fault.target)
    if target not in names:
        raise ValueError(f'target {target!r} is none of ' + ', '.join(names))
    return fault._replace(
        target=target,
        for_s=float(row.get('for_s', fault.for_s)),
        detail=row.get('with', fault.detail),
    )
