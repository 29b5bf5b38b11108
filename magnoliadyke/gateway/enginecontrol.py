"""Interface to read the state of engines and order stage changes."""

import abc
from typing import NamedTuple

from magnoliadyke.core import catalog

__all__ = ['EngineControl', 'EngineState', 'Ordered', 'Unreachable']


class EngineState(NamedTuple):
    """State that an engine reports.

    :param orders: number of orders that it has accepted since its start
    :param busy: whether it is carrying out an order
    """

    stage: catalog.Stage
    orders: int
    busy: bool


class Ordered(NamedTuple):
    """Answer of an engine to an order.

    :param accepted: whether the engine is carrying out the order, or already
        has the stage
    """

    accepted: bool
    reason: str


class Unreachable(NamedTuple):
    """The engine gave no answer; it may carry out an order seconds later."""

    reason: str


class EngineControl(abc.ABC):
    """Client of the engines; methods return outcomes and never raise."""

    @abc.abstractmethod
    def state(self, endpoint: catalog.Endpoint) -> EngineState | Unreachable:
        """Request the state of an engine."""

    @abc.abstractmethod
    def order_stage(
        self,
        endpoint: catalog.Endpoint,
        stage: catalog.Stage,
        holder: str,
        fencing: int,
        orders: int,
    ) -> Ordered | Unreachable:
        """Order an engine to change its stage.

        :param holder: name of this host, which holds the leader lease
        :param fencing: fencing token; grows with each leader
        :param orders: number of orders that the engine must have accepted
            before; the engine refuses a delayed order, as its count differs
        """
