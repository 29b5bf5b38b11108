"""HTTP server for short administrative calls."""

from typing import Callable
from typing import NamedTuple

import gevent
from gevent import server
from gevent import socket

from magnoliadyke import app
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import http
from magnoliadyke import logs

__all__ = ['Reply', 'SmallServer']

LOG = logs.get('smallserver')

#: Maximum time until the next request has been read and answered, in seconds.
IDLE_TIMEOUT_S = 30.0


class Reply(NamedTuple):
    """A response to an administrative call."""

    status: int
    content_type: bytes = b'text/plain'
    body: bytes = b''


class SmallServer(app.Component):
    """Answers each request with the reply of a handler function.

    :param address: numeric ``ip:port`` to listen on
    :param handle: returns the reply for a method and a target
    """

    def __init__(
        self, address: str, handle: Callable[[bytes, bytes], Reply]
    ) -> None:
        self.address = address
        self.handle = handle
        self.server: server.StreamServer | None = None

    def start(self) -> None:
        """Open the listener."""
        host, _, port = self.address.rpartition(':')
        self.server = server.StreamServer((host, int(port)), self._serve)
        self.server.start()

    def stop(self, deadline_s: float) -> None:
        """Close the listener; open connections stay."""
        if self.server is not None:
            self.server.close()

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        http.set_socket_options(sock)
        caller = callers.Caller(sock)
        reader = http.RequestReader(sock)
        try:
            while not caller.closing:
                with gevent.Timeout(IDLE_TIMEOUT_S, http.OutOfTime('idle')):
                    self._serve_one(caller, reader)
        except http.BrokenMessage as error:
            LOG.throttled_warning(
                'call_unreadable', address[0], reason=str(error)
            )
        except (callers.CallerLeft, http.OutOfTime, http.PeerClosed):
            # Callers may disconnect, or leave a connection idle.
            pass
        finally:
            http.drop(sock)

    def _serve_one(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> None:
        head = reader.next_part()
        while not isinstance(reader.next_part(), http.MessageEnd):
            pass
        caller.closing = not head.reusable
        reply = self.handle(head.method, head.target)
        headers = [(b'Content-Type', reply.content_type)]
        caller.answer(reply.status, headers, reply.body)
