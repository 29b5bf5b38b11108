"""Interface to read the state of engines, stop runs and order stages."""

import abc
from typing import NamedTuple

from magnoliadyke.core import catalog
from magnoliadyke.core import streambackup

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

    @abc.abstractmethod
    def stop_run(
        self,
        endpoint: catalog.Endpoint,
        request_id: bytes,
        target: str,
    ) -> streambackup.Stopped:
        """Stop a run at an engine, and move its KV cache to another one.

        Takes at most :data:`streambackup.STOP_LIMIT_S` seconds.

        :param request_id: id of the request that it runs
        :param target: address of the other engine
        """

    @abc.abstractmethod
    def check_responds(
        self, endpoint: catalog.Endpoint
    ) -> streambackup.EngineGone | streambackup.Uncertain | None:
        """Check that an engine answers a call at once.

        Takes at most :data:`streambackup.RESPONSE_LIMIT_S` seconds.

        :returns: None if it does
        """
