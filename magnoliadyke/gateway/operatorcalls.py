"""Calls to the platform that one host makes for all."""

import abc
from typing import NamedTuple

from magnoliadyke.core import autoscaler

__all__ = ['Caller', 'Done', 'OperatorCalls', 'Rejected', 'Unreachable']


class Caller(NamedTuple):
    """Who makes a call.

    :param fencing: grows with each holder of the duty
    """

    host: str
    fencing: int


class Done(NamedTuple):
    """The call was accepted, now or before."""


class Rejected(NamedTuple):
    """The call was not accepted.

    :param scarce: what was ordered can't be had at the moment
    :param again: the same call may be accepted later
    """

    reason: str
    scarce: bool = False
    retryable: bool = True


class Unreachable(NamedTuple):
    """No answer; the call may be carried out all the same."""

    reason: str


class OperatorCalls(abc.ABC):
    """The calls; methods return outcomes and raise nothing."""

    @abc.abstractmethod
    def report_usage(
        self, caller: Caller, window: int, counts: dict[str, int]
    ) -> Done | Rejected | Unreachable:
        """Report what began to run in a window, by workspace."""

    @abc.abstractmethod
    def order_endpoints(
        self, caller: Caller, order: autoscaler.ScaleOrder
    ) -> Done | Rejected | Unreachable:
        """Have a service run so many endpoints in a failure domain."""
