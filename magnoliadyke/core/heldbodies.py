"""Bound on the bytes of all bodies that a process holds at a time."""

__all__ = ['HeldBodies', 'HeldBody']


class HeldBody:
    """A body that is being received, or waits to be sent on.

    A stream is taken from it in parts: what is taken occupies room until
    :meth:`free_taken`.

    :param bodies: those that it is one of
    :ivar data: what has been received of it, and not been taken
    :ivar size: number of bytes that it occupies
    :ivar is_whole: whether it has been received to its end
    :ivar given_up: why no more of it is held, empty if it is
    """

    def __init__(self, bodies: 'HeldBodies') -> None:
        self.bodies = bodies
        self.data = bytearray()
        self.size = 0
        self.is_whole = False
        self.given_up = ''

    def expect(self, length: int) -> None:
        """Give the body up if its length, in bytes, can't be held."""
        if length > self.bodies.max_bytes:
            self.bodies.give_up(self, f'Content-Length {length}')

    def add(self, data: bytes) -> None:
        """Add a piece; this body, or others, may be given up."""
        if not self.given_up:
            self.data += data
            self.bodies.grow(self, len(data))

    def complete(self) -> bytes:
        """Return the body, which occupies room until it is released."""
        self.is_whole = True
        data = bytes(self.data)
        self.data = bytearray()
        return data

    def take(self, count: int) -> bytes:
        """Remove the first bytes and return them, to be sent on."""
        taken = bytes(self.data[:count])
        self.data = self.data[count:]
        return taken

    def free_taken(self) -> None:
        """Free the room of what was taken, as it was sent on."""
        self.bodies.shrink(self, self.size - len(self.data))

    def release(self) -> None:
        """Free its room."""
        self.bodies.remove(self)
        self.size = 0
        self.data = bytearray()


class HeldBodies:
    """Bodies that a process holds.

    Where they get too large together, the largest one that is incomplete is
    given up, so that one without end makes room for the others.

    :param max_bytes: maximum size of all of them together, in bytes
    :ivar bodies: those that occupy room
    :ivar size: what they occupy together, in bytes
    :ivar given_up: number of bodies that were given up
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.bodies: set[HeldBody] = set()
        self.size = 0
        self.given_up = 0

    def begin(self) -> HeldBody:
        """Return a new body, which is empty."""
        return HeldBody(self)

    def grow(self, body: HeldBody, count: int) -> None:
        """Make room for bytes that were added to an incomplete body."""
        body.size += count
        self.size += count
        self.bodies.add(body)
        while self.size > self.max_bytes:
            largest = max(
                (each for each in self.bodies if not each.is_whole),
                key=lambda each: len(each.data),
            )
            count = len(largest.data)
            self.give_up(
                largest,
                f'{count} of this one without its end, and '
                f'{self.size - count}',
            )

    def shrink(self, body: HeldBody, count: int) -> None:
        """Free a part of the room of a body."""
        body.size -= count
        self.size -= count
        if not body.size:
            self.bodies.discard(body)

    def remove(self, body: HeldBody) -> None:
        """Free the room of a body."""
        if body in self.bodies:
            self.bodies.discard(body)
            self.size -= body.size

    def give_up(self, body: HeldBody, got: str) -> None:
        """Free the room of an incomplete body, of which no more is held.

        What was taken of it keeps its room until it is sent on.
        """
        self.given_up += 1
        body.given_up = (
            f'body: expected {self.max_bytes} bytes at most in all bodies '
            f'that are held, got {got}'
        )
        self.shrink(body, len(body.data))
        body.data = bytearray()
