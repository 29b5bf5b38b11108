"""What a gateway asks of an engine beside running requests."""

import abc
from typing import NamedTuple

from magnoliadyke.core import catalog

__all__ = ['EngineControl', 'EngineState', 'Ordered', 'Unreachable']


class EngineState(NamedTuple):
    """An engine's own word.

    :param orders: orders that it has accepted since its start
    :param busy: an order is being carried out
    """

    stage: catalog.Stage
    orders: int
    busy: bool


class Ordered(NamedTuple):
    """The engine answered an order.

    :param accepted: it is being carried out, or holds already
    """

    accepted: bool
    reason: str


class Unreachable(NamedTuple):
    """No answer; an order may still be carried out, seconds later."""

    reason: str


class EngineControl(abc.ABC):
    """Calls to engines; they raise nothing."""

    @abc.abstractmethod
    def state(self, endpoint: catalog.Endpoint) -> EngineState | Unreachable:
        """Ask an engine what it does."""

    @abc.abstractmethod
    def order_stage(
        self,
        endpoint: catalog.Endpoint,
        stage: catalog.Stage,
        holder: str,
        fencing: int,
        orders: int,
    ) -> Ordered | Unreachable:
        """Have an engine change its stage.

        :param holder: this host
        :param fencing: grows with each holder of the lease
        :param orders: number of accepted orders that the engine must have;
            an order that was delayed is then refused
        """
