"""HTTP server that the stand-ins of the platform have in common."""

import abc
import time
from typing import NamedTuple

import gevent
from gevent import server
from gevent import socket

from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import http
from magnoliadyke.lab import framedanswer

__all__ = ['CutOff', 'HttpStandIn', 'read_body', 'read_request']


class CutOff(NamedTuple):
    """Where and how answers are broken off, whatever they consist of.

    :param after: number of bytes of an answer that are sent
    :param follow_up: sent in place of the others, such as the failure that a
        server reports of a worker that has crashed
    """

    after: int
    by: framedanswer.BreakBy
    follow_up: bytes = b''


class HttpStandIn(abc.ABC):
    """Serves requests on persistent connections.

    :param address: numeric ``ip:port``; port 0 for any
    :ivar sockets: open connections
    :ivar peers: IP address and port at the other end of each
    :ivar silent_until_s: until when it sends nothing, in monotonic seconds
    :ivar sends_copies: each answer is sent again, late: when the next request
        has arrived on its connection
    :ivar cut_off: where and how each answer is broken off, None if they are
        not
    """

    def __init__(self, address: str) -> None:
        self.listen_address = address
        self.sockets: set[socket.socket] = set()
        self.peers: dict[callers.Caller, tuple[str, int]] = {}
        self.server: server.StreamServer | None = None
        self.silent_until_s = 0.0
        self.sends_copies = False
        self.cut_off: CutOff | None = None

    def start(self) -> str:
        """Start listening.

        :returns: the address, with the port that was bound
        """
        host, _, port = self.listen_address.rpartition(':')
        self.server = server.StreamServer((host, int(port)), self._serve)
        self.server.start()
        return self.address

    @property
    def address(self) -> str:
        """Address on which it listens, as ``ip:port``."""
        return f'{self.server.server_host}:{self.server.server_port}'

    def stop(self) -> None:
        """Stop listening."""
        self.server.stop(timeout=0.1)

    def cut(self) -> None:
        """Reset all connections."""
        for sock in list(self.sockets):
            http.drop(sock)

    def fall_silent(self, for_s: float) -> None:
        """Send nothing on any connection for a time, in seconds."""
        self.silent_until_s = time.monotonic() + for_s

    def wait_while_silent(self) -> None:
        """Wait until it may send."""
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            gevent.sleep(left_s)

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        self.sockets.add(sock)
        caller = _Caller(sock, self)
        self.peers[caller] = address
        reader = http.RequestReader(sock)
        try:
            while self._serve_one(caller, reader):
                caller.answer_bytes = 0
        except (callers.CallerLeft, http.BrokenMessage, http.PeerClosed):
            # Clients may disconnect at any time.
            pass
        finally:
            self.sockets.discard(sock)
            del self.peers[caller]
            http.drop(sock)

    @abc.abstractmethod
    def _serve_one(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> bool:
        """Answer one request.

        :returns: False to close the connection
        """


class _Caller(callers.Caller):
    """A connection on which a stand-in sends as its faults have it.

    :ivar answer_bytes: number of bytes sent since the last answer
    :ivar last_answer: what was sent since the owner last cleared it, if it
        sends copies
    :ivar earlier_answers: the answers before, as the owner keeps them
    """

    def __init__(self, sock: socket.socket, stand_in: HttpStandIn) -> None:
        super().__init__(sock)
        self.stand_in = stand_in
        self.answer_bytes = 0
        self.last_answer = bytearray()
        self.earlier_answers: list[bytes] = []

    def _send(self, data: bytes) -> None:
        self.stand_in.wait_while_silent()
        if self.stand_in.sends_copies:
            self.last_answer += data
        cut_off = self.stand_in.cut_off
        if cut_off is not None:
            data = data[: max(0, cut_off.after - self.answer_bytes)]
        self.answer_bytes += len(data)
        super()._send(data)
        if cut_off is not None and self.answer_bytes >= cut_off.after:
            super()._send(cut_off.follow_up)
            framedanswer.end_broken(self, cut_off.by)
            raise callers.CallerLeft


def read_request(reader: http.RequestReader) -> tuple[http.Head, bytes]:
    """Read one complete request.

    :returns: its head and its body
    """
    head = reader.next_part()
    return head, read_body(reader)


def read_body(reader: http.RequestReader) -> bytes:
    """Read the body of a request whose head has been read."""
    pieces = []
    while isinstance(part := reader.next_part(), http.Body):
        pieces.append(part.data)
    return b''.join(pieces)
