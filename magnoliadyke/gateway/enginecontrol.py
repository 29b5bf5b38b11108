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
        is_silent: bool = False,
    ) -> streambackup.Stopped:
        """Stop a run at an engine, and move its KV cache to another one.

        Takes at most :data:`streambackup.STOP_LIMIT_S` seconds.

        :param request_id: id of the request that it runs
        :param target: address of the other engine
        :param is_silent: whether the engine has sent nothing for a while; it
            is told to stop the run only if it answers another call, or it
            would carry the stop out when it goes on
        """
