"""A listener for short calls that are answered at once."""

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

#: Longest time that a connection may idle, in seconds.
IDLE_TIMEOUT_S = 30.0


class Reply(NamedTuple):
    """An answer."""

    status: int
    content_type: bytes = b'text/plain'
    body: bytes = b''


class SmallServer(app.Component):
    """Answers calls by a function of their method and target.

    :param address: numeric ``ip:port``
    """

    def __init__(
        self, address: str, handle: Callable[[bytes, bytes], Reply]
    ) -> None:
        self.address = address
        self.handle = handle
        self.server: server.StreamServer | None = None

    def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(':')
        self.server = server.StreamServer((host, int(port)), self._serve)
        self.server.start()

    def stop(self, deadline_s: float) -> None:
        """Stop listening."""
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
            LOG.repeated('call_unreadable', address[0], reason=str(error))
        except (callers.CallerLeft, http.OutOfTime, http.PeerClosed):
            # A caller that goes away between calls is ordinary.
            pass
        finally:
            http.drop(sock)

    def _serve_one(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> None:
        head = reader.next_part()
        while not isinstance(reader.next_part(), http.End):
            pass
        caller.closing = not head.reusable
        reply = self.handle(head.method, head.target)
        headers = [(b'Content-Type', reply.content_type)]
        caller.answer(reply.status, headers, reply.body)
