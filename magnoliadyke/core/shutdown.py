"""Which requests a host that was told to stop still takes."""

from typing import NamedTuple

__all__ = ['Shutdown']

#: How long others may need to hear that this host leaves, in seconds.
LEAVE_ANNOUNCEMENT_S = 0.5
#: The listener is closed this long before the platform ends the process, in
#: seconds.
CLOSE_BEFORE_S = 2.0
#: Time kept for the last steps of a stop, in seconds.
EXIT_BEFORE_S = 0.7
#: Time kept for the way of a last answer, in seconds.
ANSWER_TRANSIT_S = 0.1
#: Time for the last answers and the ends of their connections, in seconds.
LAST_ANSWERS_S = 0.3
#: Time for all else that a process has to end, in seconds.
STOP_S = 0.2


class Shutdown(NamedTuple):
    """The course of a stop.

    :param begun_s: when this host was told to stop
    :param grace_s: time between that and the end of its process
    :param directory_ttl_s: how long callers may keep an answer of the
        directory
    """

    begun_s: float
    grace_s: float
    directory_ttl_s: float

    @property
    def refuses_from_s(self) -> float:
        """From then on callers can know of other hosts."""
        announced_s = (
            self.begun_s + self.directory_ttl_s + LEAVE_ANNOUNCEMENT_S
        )
        return min(announced_s, self.closes_s)

    @property
    def closes_s(self) -> float:
        """When the listener is closed."""
        return self.begun_s + self.grace_s - CLOSE_BEFORE_S

    @property
    def ends_s(self) -> float:
        """When requests that are still under way are given up."""
        return self.begun_s + self.grace_s - EXIT_BEFORE_S

    @property
    def exits_s(self) -> float:
        """When nothing is waited for any longer."""
        return self.ends_s + LAST_ANSWERS_S

    def accepts(self, now_s: float, deadline_s: float) -> bool:
        """Whether a request that has just come is served.

        One that may outlast this host is better off elsewhere: refused, it
        runs there from its beginning.

        :param deadline_s: when its caller gives up
        """
        if now_s < self.refuses_from_s:
            return True
        return deadline_s <= self.ends_s - ANSWER_TRANSIT_S
