"""A timeout that another greenlet can bring forward."""

from collections.abc import Callable
import types

import gevent

__all__ = ['WaitLimit']


class WaitLimit:
    """Context manager that raises an error in its block at a timeout.

    :param timeout_s: maximum time in the block, in seconds
    :param error: function that takes the reason and returns the error to
        raise in the block
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

    def abort(self, reason: str) -> None:
        """Raise the error in the block now, if it is still running.

        The event loop raises it. The greenlet of the block does not run at
        that time, so it is either inside the block or has left it and will
        not return to it.

        :param reason: text of the error
        """
        gevent.get_hub().loop.run_callback(self._raise, reason)

    def _raise(self, reason: str) -> None:
        greenlet, self.greenlet = self.greenlet, None
        if greenlet is not None:
            greenlet.throw(self.error(reason))
