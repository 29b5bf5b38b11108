"""Outcomes of requests, and of single attempts at endpoints."""

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
    'Result',
    'Silent',
    'Unmarked',
    'Whole',
]


class Answered(NamedTuple):
    """The caller received an endpoint's complete answer."""

    status: int
    endpoint: str


class Refused(NamedTuple):
    """The request has not run, and this host will not run it.

    :param retry_after_s: time after which the caller should retry, in
        seconds
    """

    reason: str
    retry_after_s: float


class Failed(NamedTuple):
    """The request failed and may have run.

    The caller received an error status, or an answer that breaks off.
    """

    status: int
    reason: str


class Left(NamedTuple):
    """The caller closed its connection before its answer was complete."""

    reason: str


Outcome = Answered | Refused | Failed | Left


class Whole(NamedTuple):
    """An endpoint's complete answer to one attempt."""

    head: http.Head
    facts: codec.ResponseFacts
    body: bytes


class NotRun(NamedTuple):
    """An attempt that did not run the request.

    Nothing was sent, or the endpoint answered that it has not run it.

    :param was_received: whether the endpoint received the request and
        rejected it
    :param held_back_s: time until the endpoint's rate limit may allow the
        request, in seconds; None if it was not held back for a limit
    """

    reason: str
    was_received: bool
    held_back_s: float | None = None


class Lost(NamedTuple):
    """An attempt that failed after the request may have run.

    :param timed_out: whether the attempt timed out
    :param broke_off: whether the endpoint closed or reset the connection
    """

    reason: str
    timed_out: bool
    broke_off: bool = False


class Silent(NamedTuple):
    """An attempt whose engine sends nothing; its connection is kept."""

    reason: str


class Unmarked(NamedTuple):
    """An attempt whose stream ended, with nothing but its connection."""

    reason: str


Result = Answered | Failed | Whole | NotRun | Lost | Silent | Unmarked
