"""Differences between the engines, workspaces and routes of a run."""

import random
from typing import NamedTuple

__all__ = [
    'BACKED_KIND',
    'SPLIT_KIND',
    'UNIFORM',
    'Mix',
    'api_key',
    'draw',
    'split_weights',
]

#: Kind of streams, and name of their route, that may not run a second time
#: and whose engines keep backups.
BACKED_KIND = 'backed'
#: Kind of streams, and name of their route, that are split between the engines
#: and the plain endpoints.
SPLIT_KIND = 'split'
#: Weights of the two in the versions of the configuration, in turn.
SPLIT_WEIGHTS = ((10, 90), (100, 0), (50, 50), (0, 100), (90, 10))
#: Intervals between the events of a stream, as multiples of the usual one:
#: one is twice the other, and a long stream still ends before its timeout.
PACES = (0.7, 1.4) * 4
#: Callers of the largest workspace for one caller of each other.
LARGEST_SHARES = (4, 5, 6)
WORKSPACES = ('w1', 'w2', 'w3', 'w4')
#: Routes of streams, of which some are less urgent than the others.
STREAM_ROUTES = ('once', 'chat', 'long', BACKED_KIND)
BACKED_CALLERS_PER_HOST = 2


class Mix(NamedTuple):
    """What differs in a run.

    :param paces: multiples of the interval between two events of a stream, of
        the endpoints in turn
    :param workspaces: workspaces of the callers in turn, empty for none
    :param less_urgent: names of the routes of the second rank
    :param backed_callers: number of callers whose streams have backups
    """

    paces: tuple[float, ...] = (1.0,)
    workspaces: tuple[str, ...] = ('',)
    less_urgent: tuple[str, ...] = ()
    backed_callers: int = 0

    def pace(self, number: int) -> float:
        """The pace of the endpoint with a number."""
        return self.paces[number % len(self.paces)]

    def workspace(self, number: int) -> str:
        """The workspace of the caller with a number."""
        return self.workspaces[number % len(self.workspaces)]


UNIFORM = Mix()


def draw(rng: random.Random, hosts: int) -> Mix:
    """Draw what differs in a run."""
    paces = tuple(rng.sample(PACES, len(PACES)))
    largest = rng.choice(WORKSPACES)
    callers = [*WORKSPACES, *[largest] * (rng.choice(LARGEST_SHARES) - 1)]
    count = rng.randrange(1, len(STREAM_ROUTES))
    return Mix(
        paces,
        tuple(rng.sample(callers, len(callers))),
        tuple(rng.sample(STREAM_ROUTES, count)),
        BACKED_CALLERS_PER_HOST * hosts,
    )


def split_weights(version: int) -> tuple[int, int]:
    """Weights of the engines and the plain endpoints in a configuration."""
    return SPLIT_WEIGHTS[version % len(SPLIT_WEIGHTS)]


def api_key(workspace: str) -> str:
    """The key of a workspace."""
    return f'key-of-{workspace}'
