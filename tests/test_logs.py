"""Tests of the event log."""

import io
import json
import logging
import os
import shlex
import types

from magnoliadyke import clock as clocks
from magnoliadyke import logs
import pytest


@pytest.fixture
def stream():
    out = io.StringIO()
    settings = types.SimpleNamespace(
        logging=types.SimpleNamespace(level='INFO')
    )
    handler = logs.setup(settings, clocks.ManualClock(), 'entry-1', out)
    yield out
    handler.pop_application()


def test_event_is_one_line_of_pairs(stream):
    logs.get('dispatch').event('request_finished', customer='lease', n=2)
    assert stream.getvalue() == (
        'at=2023-11-14T22:13:20.000+00:00 level=info host=entry-1 '
        'logger=dispatch event=request_finished customer=lease n=2\n'
    )


def test_value_can_forge_neither_line_nor_field(stream):
    text = 'x" level=error\nevent=forged \x1b[31m'
    logs.get('callers').event('refused', path=text)
    (line,) = stream.getvalue().splitlines()
    quoted = line[line.index(' path=') + len(' path=') :]
    assert json.loads(quoted) == text
    assert '\x1b' not in line
    assert sum('level=' in word for word in shlex.split(line)) == 2


def test_level_of_the_settings_counts(stream):
    logs.get('dispatch').debug_event('detail')
    assert stream.getvalue() == ''


def test_error_tells_kind_text_and_place(stream):
    try:
        raise ValueError('broken table')
    except ValueError as error:
        logs.get('configuration').error_event('table_unreadable', error)
    line = stream.getvalue()
    assert 'error=ValueError message="broken table" where=' in line
    assert 'test_logs.py:' in line


def test_repeated_event_is_held_back_and_counted(stream):
    """An endpoint is down and a thousand requests find out.

    The first failure is logged, those of the next ten seconds are only
    counted, and the next line says how many there were.
    """
    log = logs.Logger('dispatch', clocks.ManualClock())
    for _ in range(1000):
        log.throttled_warning('endpoint_down', 'e1', endpoint='e1')
    log.throttled_warning('endpoint_down', 'e2', endpoint='e2')
    log.clock.advance(logs.REPEAT_INTERVAL_S)
    log.throttled_warning('endpoint_down', 'e1', endpoint='e1')
    lines = stream.getvalue().splitlines()
    assert len(lines) == 3
    assert lines[2].endswith('endpoint=e1 held_back=999')


def test_reader_that_stops_reading_blocks_nobody():
    """The log is a pipe whose reader is stopped.

    The pipe fills; without the safeguard the next write would block the
    process and all its streams. Lines are dropped instead, and counted in
    the first one that gets through when the reader goes on.
    """
    reading, writing = os.pipe()
    handler = logs.LineHandler(
        os.fdopen(writing, 'w'), clocks.ManualClock(), '', 0
    )
    with handler.applicationbound():
        log = logs.get('dispatch')
        for _ in range(100):
            log.event('long', text='x' * 3000)
        assert handler.lost_lines > 0
        os.read(reading, 1_000_000)
        log.event('short')
    assert b'lost_lines=' in os.read(reading, 1_000_000)
    os.close(reading)
    handler.stream.close()


def test_warning_of_a_library_is_an_event_too(stream):
    logging.getLogger('urllib3').warning('retrying\nin %d s', 2)
    assert 'logger=library event=library_warning library=urllib3' in (
        stream.getvalue()
    )
    assert stream.getvalue().count('\n') == 1
