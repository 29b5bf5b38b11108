"""Faults of a run: their kinds, drawn schedules and schedule files.

A schedule file has one JSON object a line::

    {"at_s": 4.0, "kind": "pause_host", "target": "entry-2", "for_s": 8.0}

``at_s`` counts from the start of the load.  If ``target`` is left out, one
is drawn.  ``with`` holds further arguments of the kind.
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

    :param target: kind of its target, as :meth:`Targets.names_of` takes it
    :param duration_range_s: range from which its duration is drawn
    :param effect: description for people, with its arguments
    :param planned: an operator's planned change, not a failure
    """

    target: str
    duration_range_s: tuple[float, float]
    effect: str
    planned: bool = False


KINDS = {
    'kill_host': Kind(
        HOST,
        (3, 10),
        'kill -9; restarted after for_s; {"holder": true} strikes the host '
        'that holds the lease to plan a pool',
    ),
    'pause_host': Kind(
        HOST,
        (4, 14),
        'SIGSTOP, then SIGCONT; {"holder": true} as for kill_host',
    ),
    'cut_store': Kind(
        HOST,
        (4, 9),
        'all traffic between host and store is dropped; '
        '{"way": "to" | "from"} for one direction',
    ),
    'cut_peers': Kind(
        HOST,
        (4, 9),
        'all traffic between host and other hosts is dropped; {"way": ...}',
    ),
    'cut_endpoints': Kind(
        HOST,
        (3, 7),
        'all traffic between host and endpoints is dropped; {"way": ...}',
    ),
    'cut_domain': Kind(
        DOMAIN,
        (4, 9),
        'its hosts reach neither the store nor hosts of other domains',
    ),
    'links_silent': Kind(
        HOST, (0, 0), 'its open connections become half-open for good'
    ),
    'store_down': Kind(
        NO_TARGET, (4, 10), 'the store is down; {"mode": "refuse" | "hang"}'
    ),
    'store_slow': Kind(
        NO_TARGET, (4, 8), 'each call is delayed by {"delay_s": N}'
    ),
    'store_reply_lost': Kind(
        NO_TARGET,
        (0, 0),
        'the next {"count": N} writes are applied but not answered',
    ),
    'store_restored': Kind(
        NO_TARGET, (0, 0), 'the store is restored from a copy {"age_s": N} old'
    ),
    'engine_crash': Kind(
        ENGINE, (2, 4), 'the process is killed, and restarted after for_s'
    ),
    'crash_in_change': Kind(
        ENGINE,
        (8, 8),
        'its process exits half-way through its next role change',
    ),
    'change_fails': Kind(
        ENGINE, (8, 8), 'its next role change fails and leaves the old role'
    ),
    'command_reply_lost': Kind(
        ENGINE, (0, 0), 'its next command is executed but not answered'
    ),
    'engine_silent': Kind(
        ENGINE, (0, 0), 'its open streams carry no more bytes'
    ),
    'crashing_request': Kind(
        NO_TARGET,
        (6, 6),
        'a caller sends, and retries, a request that crashes engines',
    ),
    'clashing_edits': Kind(
        NO_TARGET, (2, 2), 'two operators edit the same cells at once'
    ),
    'endpoint_leaves': Kind(
        ENDPOINT,
        (6, 8),
        'it announces that it is leaving, leaves, and returns',
        True,
    ),
    'drain_endpoint': Kind(
        ENDPOINT, (6, 8), 'an operator drains it, and undoes the drain', True
    ),
    'stop_host': Kind(
        HOST, (4, 8), 'SIGTERM; restarted once it has exited', True
    ),
    'replace_hosts': Kind(
        NO_TARGET,
        (60, 60),
        'each node in turn is stopped gracefully and restarted',
        True,
    ),
}
#: Kinds that last too long for a run of the default length.
EXCLUDED_KINDS = frozenset({'replace_hosts'})
#: Share of kills and pauses that strike the host that plans a pool.
LEASE_HOLDER_SHARE = 0.5
MIN_FIRST_FAULT_S = 3.0
MAX_FIRST_FAULT_S = 9.0
#: Range after the first fault in which others start, so that the effects of
#: both overlap.
SECOND_FAULT_DELAY_S = (0.0, 5.0)


class Fault(typing.NamedTuple):
    """One fault of a schedule.

    :param at_s: seconds from the start of the load
    :param kind: key of :data:`KINDS`
    :param for_s: its duration
    :param detail: further arguments, from the part of the schedule line after
        ``with``
    """

    at_s: float
    kind: str
    target: str = ''
    for_s: float = 0.0
    detail: dict = {}


class Targets(typing.NamedTuple):
    """Names of the possible targets, by their sort."""

    hosts: tuple[str, ...]
    engines: tuple[str, ...]
    endpoints: tuple[str, ...]
    domains: tuple[str, ...]

    def names_of(self, what):
        """Names of one sort.

        :param what: :attr:`Kind.target`
        """
        return {
            HOST: self.hosts,
            ENGINE: self.engines,
            ENDPOINT: self.endpoints,
            DOMAIN: self.domains,
            NO_TARGET: ('',),
        }[what]


def draw(targets, rng, count, run_number):
    """Draw a schedule of ``count`` faults.

    The kind of the first fault is chosen by the number of the run, so that as
    many consecutive runs as there are kinds cover each kind.

    :param targets: :class:`Targets`
    :param rng: random number generator
    """
    names = sorted(KINDS.keys() - EXCLUDED_KINDS)
    at_s = rng.uniform(MIN_FIRST_FAULT_S, MAX_FIRST_FAULT_S)
    kind = names[run_number % len(names)]
    faults = [draw_one(targets, rng, at_s, kind)]
    while len(faults) < count:
        later_s = at_s + rng.uniform(*SECOND_FAULT_DELAY_S)
        kind = rng.choice(names)
        faults.append(draw_one(targets, rng, later_s, kind))
    return faults


def draw_one(targets, rng, at_s, kind):
    """Draw target, duration and arguments of a fault of a kind."""
    for_s = round(rng.uniform(*KINDS[kind].duration_range_s), 1)
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
    """Read a schedule file.

    :param lines: lines of the file
    :param path: path of the file, for messages
    :param targets: :class:`Targets`
    :param rng: random number generator for fields that a line omits
    :returns: list of :class:`Fault` in order of time
    :raises UsageError: for an invalid line, with its number and the remedy
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
    """Parse one line of a schedule file."""
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
