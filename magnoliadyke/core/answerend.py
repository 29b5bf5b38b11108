"""Tells the end of an endpoint's answer from a break."""

import enum
from typing import NamedTuple

__all__ = ['AnswerEnd', 'End', 'Framing', 'break_reason']


class Framing(enum.Enum):
    """What marks the end of an answer (RFC 9112, section 6.3).

    CLOSE: neither a length nor chunks; the answer ends with its connection.
    """

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


class End(enum.Enum):
    """What ended the reading of an answer.

    MARKED: its length or its last chunk.  CLOSED: the endpoint closed the
    connection, without a reset.  RESET: the connection failed.  TIMED_OUT: a
    time limit expired.  INVALID: the bytes are not valid HTTP.
    """

    MARKED = 'marked'
    CLOSED = 'closed'
    RESET = 'reset'
    TIMED_OUT = 'timed_out'
    INVALID = 'invalid'


class AnswerEnd(NamedTuple):
    """The end of one answer.

    :param framing: None if the connection ended before the head was complete
    :param left_over: bytes received after the last whole event of a stream
    :param is_empty: whether no byte of the body was received
    :param is_unreachable: whether no connection to the endpoint could be
        opened since: its process may have ended, which closes its connections
        in order
    :param have_others_ended: whether other connections to the endpoint ended
        at that moment, which the end of one answer does not cause
    :param is_undelivered: whether the connection was closed before the
        endpoint had received the whole request
    """

    framing: Framing | None
    end: End
    left_over: int = 0
    is_empty: bool = False
    is_unreachable: bool = False
    have_others_ended: bool = False
    is_undelivered: bool = False


def break_reason(ended: AnswerEnd) -> str | None:
    """Return why an answer is not whole, None if it is.

    An answer without a length and without chunks is ended by an orderly close
    of its connection, after the first byte of its body, if its endpoint has
    received the whole request, still accepts connections and has closed no
    other one.  A stream that ends inside an event was broken off, whatever its
    framing says.
    """
    match ended:
        case AnswerEnd(end=End.MARKED):
            pass
        case AnswerEnd(Framing.CLOSE, End.CLOSED, is_empty=True):
            return 'the connection was closed before the body of the answer'
        case AnswerEnd(Framing.CLOSE, End.CLOSED, is_undelivered=True):
            return 'the connection was closed before the end of the request'
        case AnswerEnd(Framing.CLOSE, End.CLOSED, is_unreachable=True):
            return 'the connection was closed, and no other one accepted'
        case AnswerEnd(Framing.CLOSE, End.CLOSED, have_others_ended=True):
            return 'the connection was closed, and so were others'
        case AnswerEnd(Framing.CLOSE, End.CLOSED):
            pass
        case _:
            return f'the answer was broken off: {ended.end.value}'
    if ended.left_over:
        return f'the stream ended {ended.left_over} bytes into an event'
    return None
