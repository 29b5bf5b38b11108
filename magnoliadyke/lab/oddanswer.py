"""Answers of stand-ins that come too early, or whose heads mean nothing."""

import itertools
from typing import NamedTuple

from magnoliadyke.core import answerend
from magnoliadyke.lab import endlessanswer
from magnoliadyke.lab import framedanswer

__all__ = ['EARLY', 'FLOODS', 'HEADS', 'Early']

Framing = answerend.Framing


class Early(NamedTuple):
    """An answer to an upload of which only the head has been read.

    :param framing: framing of the answer
    :param by: how the answer is broken off, None if it is whole
    :param has_all: the bytes sent are the whole body
    :param closes: the connection is closed after a whole answer, in stages:
        the rest of the upload is read
    :param after_s: time from the last byte to the break, in seconds
    """

    framing: Framing
    by: framedanswer.BreakBy | None = None
    has_all: bool = True
    closes: bool = False
    after_s: float = 0.0


#: Moments of a break: at once, while the host sends, and later.
AFTER_S = (0.0, 0.02, 0.1, 0.4)
_BREAKS = (
    framedanswer.BreakBy.RESET,
    framedanswer.BreakBy.CLOSE,
    framedanswer.BreakBy.SILENCE,
)
EARLY = (
    Early(Framing.LENGTH),
    Early(Framing.CHUNKED),
    *(Early(framing, closes=True) for framing in Framing),
    *(
        Early(Framing.CLOSE, by, has_all, after_s=after_s)
        for by, has_all, after_s in itertools.product(
            _BREAKS, (False, True), AFTER_S
        )
    ),
)
#: Begins of heads, up to a header that may follow.
HEADS = (
    *(b'HTTP/1.1 %s Odd\r\n' % each for each in (b'000', b'099', b'199')),
    *(b'HTTP/1.1 %s Odd\r\n' % each for each in (b'204', b'600', b'999')),
    b'HTTP/1.1 200 OK\r\nX-O dd: 1\r\n',
    b'HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\n',
    b'HTTP/1.1 200 OK\r\nX-Odd : 1\r\n',
)
#: Answers that no caller may get as a success, however long they are.
FLOODS = tuple(
    each
    for each in endlessanswer.Endless
    if each
    not in (endlessanswer.Endless.COMMENTS, endlessanswer.Endless.EXTRA)
)
