"""Client for reading an engine's state and sending it commands."""

import abc
import json
import typing

import gevent
from gevent import socket

from magnoliadyke.core import commands
from magnoliadyke import endpoint
from magnoliadyke import errors

__all__ = [
    'EngineControl',
    'HttpEngineControl',
    'EngineReading',
    'CommandReply',
]

STATE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 1 << 16
STATUS_OK = 200
STATUS_COMMAND_ACCEPTED = 202

#: SO_LINGER of 0 s: closing sends a reset and discards unsent bytes.
RESET_ON_CLOSE = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class EngineReading(typing.NamedTuple):
    """State and load of an engine, read from the engine itself.

    :param state: :class:`magnoliadyke.core.commands.EngineState`
    :param takes_work: whether it accepts requests; False while it is leaving
        and afterwards
    :param active: number of requests that are running or queued in it
    """

    state: commands.EngineState
    takes_work: bool
    active: int


class CommandReply(typing.NamedTuple):
    """An engine's answer to a command.

    :param code: '' if the command was accepted, else the error code
    :param highest_fencing: highest fencing token that the engine has received,
        0 if it did not report one
    """

    code: str
    highest_fencing: int = 0


class EngineControl(abc.ABC):
    """Interface of a planner to one engine."""

    @abc.abstractmethod
    def read(self):
        """:return: :class:`EngineReading`

        :raises magnoliadyke.errors.EndpointUnreachable: if the engine does
            not answer
        """

    @abc.abstractmethod
    def send(self, command, left_s, may_send):
        """Send a command, unless ``may_send`` refuses its last byte.

        :param command: a :class:`magnoliadyke.core.commands.Command`
        :param left_s: time until the connection is closed, in seconds
        :param may_send: called right before the last byte is sent; if it
            returns False, the byte is not sent and the engine ignores the
            incomplete command
        :return: :class:`CommandReply`
        :raises magnoliadyke.errors.EndpointUnreachable: if the command was not
            sent completely, or not answered in time
        """

    @abc.abstractmethod
    def close(self):
        """Close idle connections."""


class HttpEngineControl(EngineControl):
    """Client for the HTTP protocol of the platform's engines.

    :param address: ``ip:port``, numeric
    :param host: name of this host, sent in ``X-Sender`` for the engine's log
    :param clock: a :class:`magnoliadyke.clock.Clock`
    """

    def __init__(self, address, host, clock):
        self.address = address
        self.headers = (
            ('X-Sender', host),
            ('Content-Type', 'application/json'),
        )
        self.connections = endpoint.Connections(
            address, clock, endpoint.DEFAULTS
        )

    def read(self):
        """Read the engine's state and load."""
        state = self.get('/v1/state')
        load = self.get('/v1/load')
        try:
            return EngineReading(
                commands.EngineState(
                    state['role'],
                    bool(state['changing']),
                    int(state['generation']),
                    tuple(state['models']),
                ),
                state.get('state', 'in') == 'in',
                int(load['running']) + int(load['queued']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise errors.EndpointUnreachable(
                f'{self.address} sent an invalid state: {error}', sent=True
            ) from error

    def get(self, path):
        """Return the JSON document at a path of the engine.

        :raises magnoliadyke.errors.EndpointUnreachable: if the engine does not
            answer with status 200
        """
        reply = self.connections.call(
            'GET', path, b'', self.headers, STATE_TIMEOUT_S
        )
        if reply.status != STATUS_OK:
            raise errors.EndpointUnreachable(
                f'{self.address}{path} answered {reply.status}', sent=True
            )
        return reply.json()

    def send(self, command, left_s, may_send):
        """Send a command on a connection of its own, closed at the deadline.

        A delayed command could take effect after the next lease holder has
        started to send commands. Closing the connection with a reset at the
        deadline discards bytes that are still in this host's buffers, and the
        next holder waits until that deadline.
        """
        timeout = errors.EndpointUnreachable(
            f'{self.address}: command not answered in time',
            sent=True,
        )
        connection = None
        try:
            with gevent.Timeout(left_s, timeout):
                connection = endpoint.Connection(
                    self.address, min(left_s, CONNECT_TIMEOUT_S)
                )
                connection.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                return self.exchange(connection, command, left_s, may_send)
        finally:
            if connection is not None:
                connection.close()

    def exchange(self, connection, command, left_s, may_send):
        """Send the request, with ``may_send`` before its last byte.

        :return: :class:`CommandReply`
        """
        data = endpoint.request_bytes(
            'POST',
            '/v1/commands',
            self.address,
            self.headers,
            json.dumps(command_body(command)).encode(),
        )
        try:
            connection.socket.sendall(data[:-1])
            if not may_send():
                raise errors.EndpointUnreachable(
                    f'{self.address}: command not sent, lease ends too early'
                )
            connection.send('POST', data[-1:])
        except OSError as error:
            connection.fail(error)
        connection.read_head(left_s)
        text = connection.read_body(MAX_ANSWER_BYTES, left_s)
        return parse_command_reply(
            endpoint.build_reply(connection.parser, text)
        )

    def close(self):
        """Close idle connections."""
        self.connections.close()


def command_body(command):
    """Return a command as the JSON object of the engine's protocol."""
    kind, target = command.change
    return {
        'id': command.id,
        'kind': kind,
        'role' if kind == 'role' else 'model': target,
        'generation': command.generation,
        'fencing': command.fencing,
        'expires_in_s': command.expires_in_s,
    }


def parse_command_reply(reply):
    """Return the :class:`CommandReply` in an engine's HTTP response."""
    if reply.status == STATUS_COMMAND_ACCEPTED:
        return CommandReply('')
    try:
        highest_fencing = int(reply.json()['error'].get('highest') or 0)
    except (ValueError, KeyError, TypeError, AttributeError):
        highest_fencing = 0
    return CommandReply(
        reply.error_code() or f'status {reply.status}', highest_fencing
    )
