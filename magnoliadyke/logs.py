"""Logbook set up for one line of key=value pairs per event."""

import datetime
import json
import logging
import os
import re
import select
import sys
import traceback

from gevent import monkey
import logbook

from magnoliadyke import clock as clocks

__all__ = ['Logger', 'format_fields', 'get', 'setup', 'setup_stream']

#: Longest line in bytes; a pipe takes this much in one piece.
MAX_LINE_BYTES = 4096

#: Least time between two lines of the same repeated event, in seconds.
REPEAT_INTERVAL_S = 10.0

#: Innermost frames that an error's line names.
MAX_TRACE_FRAMES = 6

#: Most repeated events remembered at a time.
MAX_THROTTLED_EVENTS = 1000

_UNQUOTED = re.compile(r'[A-Za-z0-9_.:/@+,*%\[\]-]+\Z')

_LOGGERS = logbook.LoggerGroup(level=logbook.INFO)


def format_fields(fields):
    """Render fields as ``key=value`` pairs on one line.

    :param fields: mapping of names to scalars
    :returns: text without line breaks; a value that is not a plain word is
        a JSON string, so that quotes, blanks and control characters of a
        caller can't forge a field or a line
    """
    return ' '.join(f'{key}={_value(fields[key])}' for key in fields)


def _value(value):
    if isinstance(value, float):
        return f'{value:.6g}'
    text = value if isinstance(value, str) else str(value)
    if _UNQUOTED.match(text):
        return text
    return json.dumps(text)


class Logger(logbook.Logger):
    """A logger whose records are events with fields.

    :param name: the module or task that logs
    :param clock: time for the rate limit of repeated events
    """

    def __init__(self, name, clock=None):
        super().__init__(name)
        self.clock = clock or clocks.SystemClock()
        self.throttled = {}
        _LOGGERS.add_logger(self)

    def event(self, name, /, **fields):
        """Log something that happens in ordinary work."""
        self._emit(logbook.INFO, name, fields)

    def debug_event(self, name, /, **fields):
        """Log something only a developer wants to see."""
        self._emit(logbook.DEBUG, name, fields)

    def warning_event(self, name, /, **fields):
        """Log something an operator should look at."""
        self._emit(logbook.WARNING, name, fields)

    def error_event(self, name, error=None, /, **fields):
        """Log a failure.

        :param error: the exception, if there is one; its kind, its text and
            the lines that led to it, innermost first, become fields
        """
        if error is not None:
            fields = fields | _error_fields(error)
        self._emit(logbook.ERROR, name, fields)

    def throttled_warning(self, name, key, /, **fields):
        """Log a warning, at most once an interval for each ``key``.

        An endpoint that is down fails each request that tries it: without
        a limit its lines bury all others. The next line that gets through
        carries the number of those held back.

        :param key: what the event is about, such as an endpoint's name
        """
        now_s = self.clock.now_s()
        last_s, held_back = self.throttled.get((name, key), (None, 0))
        if last_s is not None and now_s - last_s < REPEAT_INTERVAL_S:
            self.throttled[name, key] = last_s, held_back + 1
            return
        if len(self.throttled) >= MAX_THROTTLED_EVENTS:
            self.throttled.clear()
        self.throttled[name, key] = now_s, 0
        if held_back:
            fields['held_back'] = held_back
        self._emit(logbook.WARNING, name, fields)

    def _emit(self, level, name, fields):
        if level >= self.level:
            self.log(level, format_fields({'event': name} | fields))


def _error_fields(error):
    fields = {'error': type(error).__name__, 'message': str(error)}
    frames = traceback.extract_tb(error.__traceback__)[-MAX_TRACE_FRAMES:]
    if frames:
        fields['where'] = '<'.join(
            f'{os.path.basename(frame.filename)}:{frame.lineno}'
            for frame in reversed(frames)
        )
    return fields


class LineHandler(logbook.StreamHandler):
    """Writes each event as one line and never blocks on its reader.

    A log reader that stops reading fills the pipe, and the next write then
    blocks the whole process with all its streams: callers would see silence
    for a fault of the log. A pipe that polls as writable takes a line of
    :data:`MAX_LINE_BYTES` at once, so asking first is enough. Lines that
    found no room are counted in the next one that does.

    :param stream: text stream to write to
    :param clock: gives the time of each line
    :param host: name of this host, put on each line unless empty
    """

    def __init__(self, stream, clock, host, level):
        super().__init__(stream, level=level)
        self.clock = clock
        self.host = host
        self.lost_lines = 0

    def format(self, record):
        """Return the line of one record, without its line break."""
        moment = datetime.datetime.fromtimestamp(
            self.clock.wall_s(), datetime.UTC
        )
        fields = {
            'at': moment.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
        }
        if self.host:
            fields['host'] = self.host
        fields['logger'] = record.channel
        if self.lost_lines:
            fields['lost_lines'] = self.lost_lines
        return f'{format_fields(fields)} {record.message}'

    def emit(self, record):
        """Write one record, or count it as lost."""
        if not _is_writable(self.stream):
            self.lost_lines += 1
            return
        line = self.format(record).encode()[: MAX_LINE_BYTES - 1]
        self.lost_lines = 0
        self.stream.write(line.decode(errors='ignore') + '\n')
        self.stream.flush()


def _is_writable(stream):
    try:
        descriptor = stream.fileno()
    except (AttributeError, OSError, ValueError):
        return True
    # The real poll: gevent's own would switch to another greenlet here.
    poll = monkey.get_original('select', 'poll')()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


class LibraryHandler(logging.Handler):
    """Takes warnings of libraries into the event log.

    They use the standard library's logging and would else write lines of
    other shapes to standard error, at any rate.
    """

    def __init__(self):
        super().__init__()
        self.log = get('library')

    def emit(self, record):
        """Log one message as an event."""
        self.log.throttled_warning(
            'library_warning',
            record.name,
            library=record.name,
            text=record.getMessage(),
        )


def setup(settings, clock=None, host='', stream=None):
    """Send all events to ``stream`` from now on.

    :param settings: the deployment's settings; ``logging.level`` counts
    :param clock: a :class:`magnoliadyke.clock.Clock`; the system's if None
    :param host: name of this host
    :param stream: standard error if None
    :returns: the handler; its ``pop_application()`` undoes the set-up
    """
    level = logbook.lookup_level(settings.logging.level.upper())
    return setup_stream(stream or sys.stderr, clock, host, level)


def setup_stream(stream, clock=None, host='', level=logbook.INFO):
    """Send all events to a stream from now on.

    :param stream: text stream to write to
    :param clock: a :class:`magnoliadyke.clock.Clock`; the system's if None
    :param host: name of this host
    :param level: least level that is written
    :returns: the handler; its ``pop_application()`` undoes the set-up
    """
    _LOGGERS.level = level
    handler = LineHandler(stream, clock or clocks.SystemClock(), host, level)
    handler.push_application()
    logging.basicConfig(
        handlers=[LibraryHandler()], level=logging.WARNING, force=True
    )
    return handler


def get(name):
    """Return a logger for a module or a task.

    :param name: a short word such as ``dispatch``
    """
    return Logger(name)
