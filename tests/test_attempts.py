"""Tests of magnoliadyke.core.attempts."""

import json

from hypothesis import given
from hypothesis import strategies

from magnoliadyke.core import attempts


def event_at(offset, words, finish=None, tokens=1, **more):
    document = {
        'offset': offset,
        **({} if finish else {'end': offset + tokens}),
        'choices': [{'index': 0, 'text': words, 'finish_reason': finish}],
        **more,
    }
    text = json.dumps(document, separators=(',', ':'))
    return f'data: {text}\n\n'.encode()


def answer(count, size=1):
    """Return the events of an answer, ``size`` tokens to an event."""
    events = [
        event_at(
            start,
            ''.join(f'w{i}' for i in range(start, start + size)),
            tokens=size,
        )
        for start in range(0, count, size)
    ]
    return [*events, event_at(count, '', 'stop', usage={})]


@given(
    strategies.integers(1, 30),
    strategies.integers(1, 3),
    strategies.lists(strategies.integers(1, 200)),
)
def test_any_cut_of_the_stream_gives_the_same_answer(count, size, cuts):
    data = b': hello\n\n'.join(answer(count * size, size)) + attempts.DONE
    assembly = attempts.Assembly()
    assembly.start_attempt('a')
    taken = []
    for cut in [*cuts, len(data)]:
        taken.append(assembly.feed('a', data[:cut]))
        data = data[cut:]
    assert b''.join(taken) == b''.join(answer(count * size, size))
    assert assembly.offset == count * size
    assert assembly.finished


def test_a_late_chunk_of_an_older_attempt_is_dropped():
    """The first connection went silent, and the attempt was resumed.

    Bytes of the first connection that come after all would double the text
    that the second one has brought already.
    """
    events = answer(3)
    assembly = attempts.Assembly()
    assembly.start_attempt('first')
    assembly.feed('first', events[0])
    assembly.start_attempt('second')
    assert assembly.feed('second', events[1]) == events[1]
    assert assembly.feed('first', events[1]) == b''
    assert assembly.offset == 2


def test_missing_tokens_are_seen_also_before_the_finish_mark():
    for missing in (1, 2):
        events = answer(3)
        del events[missing]
        assembly = attempts.Assembly()
        assembly.start_attempt('a')
        assembly.feed('a', b''.join(events))
        assert assembly.gap
        assert assembly.finished is None
        assert assembly.offset == missing


@given(strategies.integers(0, 6), strategies.integers(0, 6))
def test_a_resume_from_any_offset_neither_doubles_nor_loses(got, asked):
    events = answer(6)
    assembly = attempts.Assembly()
    assembly.start_attempt('a')
    taken = assembly.feed('a', b''.join(events[:got]))
    assembly.start_attempt('b')
    rest = attempts.events_from(b''.join(events), min(got, asked))
    taken += assembly.feed('b', rest)
    assert taken == b''.join(events)


def test_an_error_event_is_kept_and_not_passed_on():
    assembly = attempts.Assembly()
    assembly.start_attempt('a')
    data = b'event: error\ndata: {"error": {"type": "unknown"}}\n\n'
    assert assembly.feed('a', data) == b''
    assert assembly.error == {'type': 'unknown'}


def test_text_with_escapes_is_read_back():
    events = event_at(0, 'a "b" \\ \n ', tokens=4) + event_at(4, '\u0436 ')
    assert attempts.text_of(events) == 'a "b" \\ \n \u0436 '


def test_a_fast_stream_is_doubted_sooner_and_a_suspect_one_sooner_still():
    pace = attempts.SilenceTimeout(min_silence_s=1.0, max_silence_s=3.0)
    assert pace.silence_limit_s() == 3.0
    for step in range(20):
        pace.observe(1 + step * 10, step * 0.25)
    assert pace.silence_limit_s() == 1.0
    assert pace.silence_limit_s(suspect=True) == 0.5


def test_tokens_are_counted_by_the_engine_and_not_by_their_text():
    # The caller misses a part of its answer: its engine sends a blank inside
    # a token, or two tokens without any; counted by blanks the stream seems
    # further on than it is, and its next event is dropped as one that came
    # before. So only the engine's own count is used.
    assembly = attempts.Assembly()
    assembly.start_attempt('attempt')
    events = [
        event_at(0, 'in the end', tokens=1),
        event_at(1, 'ofit', tokens=2),
        event_at(3, ' all ', tokens=1),
        event_at(4, '', 'stop', usage={}),
    ]
    passed = b''.join(assembly.feed('attempt', each) for each in events)
    assert attempts.text_of(passed) == 'in the endofit all '
    assert assembly.finished is not None


def test_an_event_without_an_end_is_one_token():
    assembly = attempts.Assembly()
    assembly.start_attempt('attempt')
    event = event_at(0, 'some words here').replace(b'"end":1,', b'')
    assert assembly.feed('attempt', event) == event
    assert assembly.offset == 1
