"""A wait that ends after a time, or sooner when somebody says so."""

from collections.abc import Callable
import types

import gevent

__all__ = ['WaitLimit']


class WaitLimit:
    """Limits what a greenlet does inside a ``with`` block.

    :param seconds: longest time
    :param error: makes the error that is raised in the block when it is over
    """

    def __init__(
        self, timeout_s: float, error: Callable[[str], Exception]
    ) -> None:
        self.timeout_s = timeout_s
        self.error = error
        self.greenlet: gevent.Greenlet | None = None
        self.timeout: gevent.Timeout | None = None

    def __enter__(self) -> 'WaitLimit':
        self.greenlet = gevent.getcurrent()
        error = self.error('no answer in time')
        self.timeout = gevent.Timeout.start_new(self.timeout_s, error)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.greenlet = None
        self.timeout.close()

    def end(self, reason: str) -> None:
        """End the wait now, if it still goes on.

        The error is raised from the event loop, where the waiting greenlet
        does not run: it is either inside the block, or has left it for good.
        """
        gevent.get_hub().loop.run_callback(self._raise, reason)

    def _raise(self, reason: str) -> None:
        greenlet, self.greenlet = self.greenlet, None
        if greenlet is not None:
            greenlet.throw(self.error(reason))
