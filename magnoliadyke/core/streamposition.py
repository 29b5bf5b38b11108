"""Where a stream of events can be resumed after a break."""

__all__ = ['StreamPosition']


class StreamPosition:
    """The position of a caller in a stream, by the events passed on to it.

    :ivar last_id: id of the last event that had one, None before it
    :ivar can_resume: whether a resumed stream brings no event again: events
        after the last id would come twice
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self.can_resume = True

    def advance(self, event_id: bytes | None, has_data: bool) -> None:
        """Record an event that was passed on to the caller.

        :param has_data: whether it has data; a comment may come twice
        """
        if event_id is not None:
            self.last_id = event_id
            self.can_resume = True
        elif has_data:
            self.can_resume = False
