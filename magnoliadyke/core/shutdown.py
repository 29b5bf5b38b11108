"""Phases of a host's shutdown, and which requests it still accepts."""

from typing import NamedTuple

__all__ = ['ANSWER_TRANSIT_S', 'Shutdown']

#: Time until all hosts are notified that this host leaves, in seconds.
LEAVE_ANNOUNCEMENT_S = 0.5
#: The listener closes this long before the platform kills the process, in
#: seconds.
CLOSE_BEFORE_S = 2.0
#: Time reserved for the last steps of a shutdown, in seconds.
EXIT_BEFORE_S = 0.7
#: Time reserved for the last response to reach its caller, in seconds.
ANSWER_TRANSIT_S = 0.1
#: Time to send the last responses and close their connections, in seconds.
LAST_ANSWERS_S = 0.3
#: Time to stop all other components of the process, in seconds.
STOP_S = 0.2


class Shutdown(NamedTuple):
    """Schedule of a shutdown, in monotonic seconds.

    :param started_s: when this host received the request to stop
    :param grace_s: time from then until the platform kills the process, in
        seconds
    :param directory_ttl_s: how long callers may cache a response of the
        directory, in seconds
    """

    started_s: float
    grace_s: float
    directory_ttl_s: float

    @property
    def refuses_from_s(self) -> float:
        """When requests begin to be refused.

        By then the directory responses that callers cached before the
        shutdown have expired, unless the listener closes first.
        """
        announced_s = (
            self.started_s + self.directory_ttl_s + LEAVE_ANNOUNCEMENT_S
        )
        return min(announced_s, self.closes_s)

    @property
    def closes_s(self) -> float:
        """When the listener is closed."""
        return self.started_s + self.grace_s - CLOSE_BEFORE_S

    @property
    def ends_s(self) -> float:
        """When requests that are still in flight are aborted."""
        return self.started_s + self.grace_s - EXIT_BEFORE_S

    @property
    def exits_s(self) -> float:
        """When the process exits, whatever is still open."""
        return self.ends_s + LAST_ANSWERS_S

    def accepts(self, now_s: float, deadline_s: float) -> bool:
        """Return whether to serve a request that has just arrived.

        One that may not complete before this host ends is refused, so that
        its caller can have another host run it from the start.

        :param deadline_s: when its caller's timeout ends, in monotonic seconds
        """
        return now_s < self.refuses_from_s or self.completes(deadline_s)

    def completes(self, deadline_s: float) -> bool:
        """Return whether a request completes before this host ends.

        :param deadline_s: when its caller's timeout ends, in monotonic seconds
        """
        return deadline_s <= self.ends_s - ANSWER_TRANSIT_S
