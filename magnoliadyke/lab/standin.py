"""Common parts of the stand-ins: WSGI server, requests, faults, ledger."""

import collections
from collections import abc
import hashlib
import json
import os
import signal
import socket
import sys
import time
import typing
from urllib import parse

import gevent
from gevent import event
from gevent import pywsgi

__all__ = [
    'Answer',
    'DropConnection',
    'EventStream',
    'Faults',
    'Ledger',
    'Request',
    'Server',
    'content_digest',
    'crash',
    'error_answer',
    'json_answer',
    'read_spec',
    'run',
    'split_address',
]

MAX_LEDGER_ROWS = 200_000
MAX_BODY_BYTES = 16 * 1024 * 1024
STOP_TIMEOUT_S = 2.0
CONTENT_DIGEST_HEX_DIGITS = 16

STATUS_TEXT = {
    200: '200 OK',
    202: '202 Accepted',
    204: '204 No Content',
    400: '400 Bad Request',
    404: '404 Not Found',
    409: '409 Conflict',
    413: '413 Content Too Large',
    429: '429 Too Many Requests',
    500: '500 Internal Server Error',
    503: '503 Service Unavailable',
}


class Request(typing.NamedTuple):
    """One request to a stand-in."""

    method: str
    path: str
    query: abc.Mapping[str, str]
    environ: abc.Mapping[str, typing.Any]
    body: bytes

    def header(self, name, default=''):
        """Return the value of the header ``name``, in any case."""
        key = 'HTTP_' + name.upper().replace('-', '_')
        return self.environ.get(key, default)

    def json(self):
        """Return the body, a JSON object; an empty body gives an empty one.

        :raises ValueError: the body is not a JSON object
        """
        if not self.body:
            return {}
        value = json.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError('the body must be a JSON object')
        return value


class Answer(typing.NamedTuple):
    """A response with its complete body."""

    status: int
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


class EventStream(typing.NamedTuple):
    """A response that streams server-sent events."""

    chunks: abc.Iterable[bytes]


class DropConnection(Exception):
    """Makes the server close the connection without a response."""


class Ledger:
    """Records what a stand-in did, for a checker outside the nodes.

    A row is appended to the file with one unbuffered write before the
    response is sent, so that it survives a crash of the process.

    :param path: file of JSON lines to append to; none if empty
    """

    def __init__(self, path=''):
        self.rows = collections.deque(maxlen=MAX_LEDGER_ROWS)
        self.file = open(path, 'ab', buffering=0) if path else None

    def write(self, what, **fields):
        """Append a row; its ``at_s`` is the wall time in seconds."""
        row = {'at_s': time.time(), 'what': what, **fields}
        self.rows.append(row)
        if self.file is not None:
            self.file.write(json.dumps(row).encode() + b'\n')
        return row


class Faults:
    """The active faults, each with its end time."""

    def __init__(self):
        self.until_s = {}
        self.values = {}

    def set(self, kind, fault):
        """Turn a fault on for its ``for_s`` seconds, or until cleared."""
        for_s = fault.get('for_s')
        forever = float('inf')
        end_s = forever if for_s is None else time.monotonic() + float(for_s)
        self.until_s[kind] = end_s
        self.values[kind] = fault

    def clear(self, kind=''):
        """Turn one fault off, or all if ``kind`` is empty."""
        for name in [kind] if kind else list(self.until_s):
            self.until_s.pop(name, None)

    def get(self, kind):
        """Return the settings of a fault, or None if it is off."""
        if self.until_s.get(kind, 0.0) <= time.monotonic():
            return None
        return self.values[kind]

    def consume(self, kind):
        """Return a fault as :meth:`get` does, and decrement its ``count``.

        The fault is cleared when its count, by default 1, reaches 0.
        """
        fault = self.get(kind)
        if fault is not None:
            fault['count'] = int(fault.get('count', 1)) - 1
            if fault['count'] <= 0:
                self.clear(kind)
        return fault


class Handler(pywsgi.WSGIHandler):
    """Lets an application close its connection without a response."""

    def get_environ(self):
        """Return the WSGI environment, with this handler added."""
        environ = super().get_environ()
        environ['lab.handler'] = self
        return environ


class Server:
    """HTTP server of one stand-in.

    :param address: ``ip:port`` to listen on
    :param handle: function from a :class:`Request` to its response
    """

    def __init__(
        self,
        address,
        handle,
    ):
        self.handle = handle
        # Headers and body are sent in two writes: without TCP_NODELAY the
        # second can wait 40 ms for a delayed ACK.  Accepted sockets
        # inherit the option from the listener.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind(split_address(address))
        listener.listen(1024)
        self.wsgi = pywsgi.WSGIServer(
            listener,
            self.application,
            log=None,
            error_log=sys.stderr,
            handler_class=Handler,
        )

    def start(self):
        """Start accepting connections."""
        self.wsgi.start()

    def stop(self):
        """Stop, and close connections still open after the timeout."""
        self.wsgi.stop(timeout=STOP_TIMEOUT_S)

    def application(self, environ, start_response):
        """Handle one WSGI request; one that is malformed gets a 400."""
        try:
            answer = self.handle(read_request(environ))
        except DropConnection:
            environ['lab.handler'].close_connection = True
            return []
        except KeyError as error:
            answer = error_answer(400, 'bad_request', f'{error} is missing')
        except ValueError as error:
            answer = error_answer(400, 'bad_request', str(error))
        match answer:
            case EventStream(chunks):
                headers = [
                    ('Content-Type', 'text/event-stream'),
                    ('Cache-Control', 'no-cache'),
                ]
                start_response(STATUS_TEXT[200], headers)
                return chunks
            case Answer(status, body, extra):
                headers = [('Content-Length', str(len(body))), *extra]
                if status == 204:
                    headers = list(extra)
                start_response(STATUS_TEXT[status], headers)
                return [body] if body else []


def read_request(environ):
    """Read the request from a WSGI environment.

    :raises ValueError: the body is too long
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > MAX_BODY_BYTES:
        raise ValueError(f'the body is over {MAX_BODY_BYTES} bytes')
    chunked = environ.get('HTTP_TRANSFER_ENCODING', '').lower() == 'chunked'
    body = b''
    if length or chunked:
        body = environ['wsgi.input'].read(length if length else -1)
    query = dict(parse.parse_qsl(environ.get('QUERY_STRING', '')))
    return Request(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'].encode('latin-1').decode(),
        query,
        environ,
        body,
    )


def json_answer(status, value, headers=()):
    """Return a response with a JSON body."""
    body = json.dumps(value, separators=(',', ':')).encode()
    return Answer(
        status, body, (('Content-Type', 'application/json'), *headers)
    )


def error_answer(status, code, message, **fields):
    """Return an error response in the format of all stand-ins."""
    error = {'code': code, 'message': message, **fields}
    return json_answer(status, {'error': error})


def read_spec(kind, argv):
    """Parse the settings of a stand-in from its arguments.

    :param kind: ``Spec`` of the stand-in, a NamedTuple
    :param argv: address, then optionally a JSON object of its fields
    """
    return kind(**json.loads(argv[1]) if len(argv) > 1 else {})


def split_address(address):
    """Split ``ip:port`` into a pair of address and port number."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def run(server, *, at_stop=None):
    """Serve until SIGTERM or SIGINT.

    :param at_stop: called before the server stops
    :returns: exit status
    """
    stopped = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    server.start()
    stopped.wait()
    if at_stop is not None:
        at_stop()
    server.stop()
    return 0


def content_digest(*parts):
    """Return the digest by which a ledger identifies a request's content.

    Duplicates have the same digest, whatever their idempotency keys.
    """
    digest = hashlib.sha256('\n'.join(parts).encode())
    return digest.hexdigest()[:CONTENT_DIGEST_HEX_DIGITS]


def crash():
    """Exit at once without flushing or cleanup, as in a crash."""
    os._exit(70)
