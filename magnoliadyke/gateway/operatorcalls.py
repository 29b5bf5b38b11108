"""Calls to the platform that the leader makes on behalf of all hosts."""

import abc
from typing import NamedTuple

from magnoliadyke.core import autoscaler

__all__ = ['Caller', 'Done', 'OperatorCalls', 'Rejected', 'Unreachable']


class Caller(NamedTuple):
    """Identity of the host that makes a call.

    :param fencing: fencing token; grows with each leader
    """

    host: str
    fencing: int


class Done(NamedTuple):
    """The platform accepted the call, now or when it was sent before."""


class Rejected(NamedTuple):
    """The platform rejected the call.

    :param scarce: whether the ordered capacity is unavailable at the moment
    :param retryable: whether the same call may be accepted later
    """

    reason: str
    scarce: bool = False
    retryable: bool = True


class Unreachable(NamedTuple):
    """The call was not made or got no answer.

    A call that was sent may still be carried out.
    """

    reason: str


class OperatorCalls(abc.ABC):
    """Client of the platform; methods return outcomes and never raise."""

    @abc.abstractmethod
    def report_usage(
        self, caller: Caller, window: int, counts: dict[str, int]
    ) -> Done | Rejected | Unreachable:
        """Report the requests that began to run in a window.

        :param window: number of the window
        :param counts: number of requests by workspace
        """

    @abc.abstractmethod
    def order_endpoints(
        self, caller: Caller, order: autoscaler.ScaleOrder
    ) -> Done | Rejected | Unreachable:
        """Order the number of a service's endpoints in a failure domain."""
