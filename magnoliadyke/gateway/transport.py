"""TCP sockets that tell how their connection ended."""

import errno
import fcntl
import os
import struct
import termios
from typing import NamedTuple

import gevent
from gevent import socket

__all__ = ['Failure', 'Transport']

#: Value of ``tcpi_state``, the first byte of TCP_INFO, of a connection that
#: was reset or has timed out; after an orderly close by the peer it is
#: TCP_CLOSE_WAIT.
TCP_CLOSE = 7
#: Size of an int, which TIOCOUTQ returns.
INT = struct.Struct('i')
PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class Failure(NamedTuple):
    """The error that ended a connection.

    :param call: the call that met it: ``recv``, ``send``, or ``peek``; or
        ``state`` if only the state of the connection shows it
    :param error: the error
    """

    call: str
    error: OSError


class Transport:
    """A TCP socket that keeps the error that ended its connection.

    The kernel reports that error once, to the first call that meets it. Later
    reads return no bytes, as they do after an orderly close.

    :param sock: a connected socket
    :ivar failure: the error, None as long as no call has met one
    :ivar queued: number of bytes of a send that the kernel has not taken yet
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.failure: Failure | None = None
        self.queued = 0

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self.sock.fileno()

    def recv(self, size: int) -> bytes:
        """Wait for bytes and return them; none after an orderly close.

        :raises OSError: the connection failed, now or before
        """
        try:
            data = self.sock.recv(size)
        except OSError as error:
            self._record('recv', error)
            raise
        if not data:
            self._check_orderly()
        return data

    def sendall(self, data: bytes) -> None:
        """Send bytes.

        :raises OSError: the connection failed
        """
        left = memoryview(data)
        self.queued = len(left)
        try:
            while left:
                left = left[self.sock.send(left) :]
                self.queued = len(left)
        except OSError as error:
            self._record('send', error)
            raise

    def send_in_background(self, data: bytes) -> gevent.Greenlet:
        """Send bytes in a greenlet, whose value is whether all were sent.

        Its error is raised for the read that finds the end.
        """
        self.queued = len(data)
        return gevent.spawn(self._try_sendall, data)

    def _try_sendall(self, data: bytes) -> bool:
        try:
            self.sendall(data)
        except OSError:
            return False
        return True

    def is_quiet(self) -> bool:
        """Whether there are neither unread bytes nor the end."""
        return self._peek() is None

    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that are not read yet."""
        return bool(self._peek())

    def has_ended(self) -> bool:
        """Whether nothing but the end of the connection is left to read."""
        return self._peek() == b''

    def _peek(self) -> bytes | None:
        """Return the next byte, none at the end, None if there is neither."""
        try:
            # The recv of gevent's socket would switch greenlets; that of the
            # non-blocking socket below it returns at once.
            return self.sock._sock.recv(1, PEEK)
        except BlockingIOError:
            return None
        except OSError as error:
            self._record('peek', error)
            return b''

    def undelivered(self) -> int:
        """Return how many sent bytes the peer has not acknowledged.

        That includes those that wait for the kernel to take them.
        """
        try:
            unacknowledged = fcntl.ioctl(
                self.fileno(), termios.TIOCOUTQ, bytes(INT.size)
            )
        except OSError:
            return self.queued
        return self.queued + INT.unpack(unacknowledged)[0]

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()

    def _record(self, call: str, error: OSError) -> None:
        if self.failure is None:
            self.failure = Failure(call, error)

    def _check_orderly(self) -> None:
        """Check that the peer has closed the connection in order.

        :raises OSError: the connection failed
        """
        if self.failure is None and self._is_reset():
            error = ConnectionResetError(
                errno.ECONNRESET, os.strerror(errno.ECONNRESET)
            )
            self._record('state', error)
        if self.failure is not None:
            raise self.failure.error

    def _is_reset(self) -> bool:
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return False
        return bool(info) and info[0] == TCP_CLOSE
