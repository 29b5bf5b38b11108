"""Event log by Logbook: one line of key=value pairs for each event."""

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

#: Maximum length of a line in bytes: the largest write to a pipe that is
#: atomic (PIPE_BUF on Linux).
MAX_LINE_BYTES = 4096

#: Minimum time between two lines of the same throttled event, in seconds.
REPEAT_INTERVAL_S = 10.0

#: Maximum number of stack frames in the line of an error.
MAX_TRACE_FRAMES = 6

#: Maximum number of throttled events with a record of their last line.
MAX_THROTTLED_EVENTS = 1000

_UNQUOTED = re.compile(r'[A-Za-z0-9_.:/@+,*%\[\]-]+\Z')

_LOGGERS = logbook.LoggerGroup(level=logbook.INFO)


def format_fields(fields):
    """Format fields as ``key=value`` pairs on one line.

    :param fields: mapping of names to scalars
    :returns: text without line breaks; a value with other characters than
        those of :data:`_UNQUOTED` is written as a JSON string, so that quotes,
        spaces and control characters in a caller's input can't forge a field
        or a line
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
    :param clock: clock for the rate limit of throttled events; the system
        clock if None
    :ivar throttled: by name and key of a throttled event, the time of its
        last line in seconds, and the number of lines suppressed since then
    """

    def __init__(self, name, clock=None):
        super().__init__(name)
        self.clock = clock or clocks.SystemClock()
        self.throttled = {}
        _LOGGERS.add_logger(self)

    def event(self, name, /, **fields):
        """Log an event of normal operation."""
        self._emit(logbook.INFO, name, fields)

    def debug_event(self, name, /, **fields):
        """Log an event that is of use in development only."""
        self._emit(logbook.DEBUG, name, fields)

    def warning_event(self, name, /, **fields):
        """Log an event that an operator should look into."""
        self._emit(logbook.WARNING, name, fields)

    def error_event(self, name, error=None, /, **fields):
        """Log a failure.

        :param error: the exception, if there is one; its class, its text and
            the source lines of its traceback, innermost first, become fields
        """
        if error is not None:
            fields = fields | _error_fields(error)
        self._emit(logbook.ERROR, name, fields)

    def throttled_warning(self, name, key, /, **fields):
        """Log a warning at most every :data:`REPEAT_INTERVAL_S` for each key.

        An endpoint that is down fails each request sent to it: without a
        limit, these lines would bury all others. The next line that is
        written carries the number of suppressed ones as ``held_back``.

        :param name: name of the event
        :param key: subject of the event, such as the name of an endpoint;
            each combination of name and key has its own limit
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
    """Writes each event as one line, and drops lines rather than block.

    When the process that reads the log stalls, the pipe fills, and the next
    write would block the whole process with all of its streams: callers would
    receive nothing because of a fault of the log. A pipe that polls as
    writable accepts a line of :data:`MAX_LINE_BYTES` without blocking, so it
    is polled before each write. The next line that is written carries the
    number of dropped ones as ``lost_lines``.

    :param stream: text stream to write to
    :param clock: clock for the time of each line
    :param host: name of this host, put on each line unless empty
    :param level: minimum level of the records that are written
    :ivar lost_lines: number of lines dropped since the last one was written
    """

    def __init__(self, stream, clock, host, level):
        super().__init__(stream, level=level)
        self.clock = clock
        self.host = host
        self.lost_lines = 0

    def format(self, record):
        """Return the line of a record, without its line break."""
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
        """Write a record, or count it as lost if a write would block."""
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
    # The unpatched poll: that of gevent would switch to another greenlet.
    poll = monkey.get_original('select', 'poll')()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


class LibraryHandler(logging.Handler):
    """Forwards warnings of libraries to the event log.

    Libraries use the standard library's logging. Without this handler they
    would write lines of another format to standard error, with no rate limit.
    """

    def __init__(self):
        super().__init__()
        self.log = get('library')

    def emit(self, record):
        """Log a library's message as a throttled event."""
        self.log.throttled_warning(
            'library_warning',
            record.name,
            library=record.name,
            text=record.getMessage(),
        )


def setup(settings, clock=None, host='', stream=None):
    """Write all events to ``stream`` from now on.

    :param settings: the deployment's settings, of which ``logging.level`` is
        used
    :param clock: a :class:`magnoliadyke.clock.Clock`; the system clock if None
    :param host: name of this host
    :param stream: text stream to write to; standard error if None
    :returns: the handler; its ``pop_application()`` removes it
    """
    level = logbook.lookup_level(settings.logging.level.upper())
    return setup_stream(stream or sys.stderr, clock, host, level)


def setup_stream(stream, clock=None, host='', level=logbook.INFO):
    """Write all events to a stream from now on.

    :param stream: text stream to write to
    :param clock: a :class:`magnoliadyke.clock.Clock`; the system clock if None
    :param host: name of this host
    :param level: minimum level of the events that are written
    :returns: the handler; its ``pop_application()`` removes it
    """
    _LOGGERS.level = level
    handler = LineHandler(stream, clock or clocks.SystemClock(), host, level)
    handler.push_application()
    logging.basicConfig(
        handlers=[LibraryHandler()], level=logging.WARNING, force=True
    )
    return handler


def get(name):
    """Create a logger for a module or a task.

    :param name: short name for the field ``logger``, such as ``dispatch``
    """
    return Logger(name)
