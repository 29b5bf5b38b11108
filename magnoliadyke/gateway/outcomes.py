"""How a request ended, and how one try at an endpoint ended."""

from typing import NamedTuple

from magnoliadyke.gateway import codec
from magnoliadyke.gateway import http

__all__ = [
    'Answered',
    'Failed',
    'Left',
    'Lost',
    'NotRun',
    'Refused',
    'Whole',
]


class Answered(NamedTuple):
    """The caller has an endpoint's whole answer."""

    status: int
    endpoint: str


class Refused(NamedTuple):
    """The request has not run and will not.

    :param retry_after_s: when there will be room
    """

    reason: str
    retry_after_s: float


class Failed(NamedTuple):
    """It may have run; the caller has a failure, or a broken answer."""

    status: int
    reason: str


class Left(NamedTuple):
    """The caller left first."""

    reason: str


Outcome = Answered | Refused | Failed | Left


class Whole(NamedTuple):
    """An endpoint's whole answer to one try."""

    head: http.Head
    facts: codec.AnswerFacts
    body: bytes


class NotRun(NamedTuple):
    """A try that has not run: nothing was sent, or the endpoint says so.

    :param arrived: the endpoint got the request and turned it away
    """

    reason: str
    arrived: bool


class Lost(NamedTuple):
    """A try of which nobody can say whether it has run.

    :param timed_out: the time for it was over
    :param broke_off: the endpoint ended the connection, or it was reset
    """

    reason: str
    timed_out: bool
    broke_off: bool = False
