"""Answers of stand-ins, framed and broken off in every way that HTTP has."""

import enum
import itertools
from typing import Callable
from typing import NamedTuple

import gevent
from gevent import socket

from magnoliadyke.core import answerend
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import http

__all__ = [
    'ENDS',
    'Break',
    'BreakAt',
    'BreakBy',
    'detectable_breaks',
    'end_broken',
    'send',
]

Framing = answerend.Framing

#: Value of SO_LINGER with which close() resets the connection.
LINGER_RESET = (1).to_bytes(4, 'little') + bytes(4)
#: Length of a silence, longer than any caller waits, in seconds.
SILENCE_S = 60.0


class BreakAt(enum.Enum):
    """Where an answer is broken off.

    HEAD: inside the head.  START: after the head.  INSIDE: inside a piece of
    the body, such as an event.  BETWEEN: after a whole piece.
    """

    HEAD = 'head'
    START = 'start'
    INSIDE = 'inside'
    BETWEEN = 'between'


class BreakBy(enum.Enum):
    """How an answer is broken off.

    CLOSE: the connection is closed in order.  RESET: it is reset.  SILENCE:
    nothing more is sent on it.  MARKED: the framing says that the answer is
    whole.
    """

    CLOSE = 'close'
    RESET = 'reset'
    SILENCE = 'silence'
    MARKED = 'marked'


#: How a connection ends.
ENDS = (BreakBy.CLOSE, BreakBy.RESET)
_BEFORE_BODY = (BreakAt.HEAD, BreakAt.START)


class Break(NamedTuple):
    """A break of an answer.

    :param after: number of whole pieces that are sent before it
    :param framing: framing of the answer, None for that of other answers
    """

    at: BreakAt
    by: BreakBy
    after: int = 1
    framing: Framing | None = None


def detectable_breaks(is_stream: bool) -> list[Break]:
    """Return the breaks that are not the end of a shorter answer.

    :param is_stream: whether the pieces are events
    """
    found = []
    for framing in Framing:
        for at, by in itertools.product(BreakAt, BreakBy):
            if by is BreakBy.MARKED:
                is_seen = is_stream and at is BreakAt.INSIDE
                is_possible = framing is not Framing.CLOSE
            else:
                is_end = framing is Framing.CLOSE and by is BreakBy.CLOSE
                is_inside = at is BreakAt.INSIDE and is_stream
                is_seen = not is_end or is_inside or at in _BEFORE_BODY
                is_possible = True
            if is_seen and is_possible:
                found.append(Break(at, by, framing=framing))
    return found


def send(
    caller: callers.Caller,
    headers: http.Headers,
    pieces: list[bytes],
    framing: Framing,
    broken: Break | None = None,
    pause: Callable[[], None] = lambda: None,
    status: int = 200,
) -> bool:
    """Send an answer.

    :param pieces: the body, for a stream its events
    :param broken: where and how it is broken off, None to send all of it
    :param pause: called after each piece
    :returns: whether the connection can be used again
    """
    sent, partial = pieces, b''
    if broken is not None:
        framing = broken.framing or framing
        sent, partial = _broken_off(pieces, broken)
    promised = pieces
    if broken is not None and broken.by is BreakBy.MARKED:
        promised = [*sent, partial]
    head = _head(status, headers, promised, framing)
    if broken is not None and broken.at is BreakAt.HEAD:
        caller._send(head[: len(head) // 2])
        return end_broken(caller, broken.by)
    caller._send(head)
    for piece in sent:
        caller._send(_framed(piece, framing))
        pause()
    is_marked = broken is None or broken.by is BreakBy.MARKED
    if partial:
        framed = _framed(partial, framing)
        if not is_marked and framing is Framing.CHUNKED:
            # The chunk is announced with more bytes than are sent.
            framed = b'%x\r\n%s' % (2 * len(partial), partial)
        caller._send(framed)
    if not is_marked:
        return end_broken(caller, broken.by)
    if framing is Framing.CHUNKED:
        caller._send(b'0\r\n\r\n')
    return framing is not Framing.CLOSE


def _broken_off(
    pieces: list[bytes], broken: Break
) -> tuple[list[bytes], bytes]:
    """Return the whole pieces that are sent, and the part of the next one."""
    match broken.at:
        case BreakAt.HEAD | BreakAt.START:
            return [], b''
        case BreakAt.INSIDE:
            following = pieces[broken.after]
            return pieces[: broken.after], following[: len(following) // 2]
        case BreakAt.BETWEEN:
            return pieces[: broken.after], b''


def _head(
    status: int,
    headers: http.Headers,
    pieces: list[bytes],
    framing: Framing,
) -> bytes:
    lines = [b'HTTP/1.1 %d Status' % status]
    lines += [b'%s: %s' % header for header in headers]
    match framing:
        case Framing.LENGTH:
            lines.append(b'Content-Length: %d' % sum(map(len, pieces)))
        case Framing.CHUNKED:
            lines.append(b'Transfer-Encoding: chunked')
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def _framed(piece: bytes, framing: Framing) -> bytes:
    if framing is Framing.CHUNKED and piece:
        return b'%x\r\n%s\r\n' % (len(piece), piece)
    return piece


def end_broken(caller: callers.Caller, by: BreakBy) -> bool:
    """Prepare a connection for the close that breaks an answer off.

    :returns: that it can't be used again
    """
    match by:
        case BreakBy.RESET:
            caller.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )
        case BreakBy.SILENCE:
            gevent.sleep(SILENCE_S)
    return False
