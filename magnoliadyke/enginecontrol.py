"""Reading an engine's state and sending it commands."""

import abc
import json
import typing

import gevent
from gevent import socket

from magnoliadyke.core import commands
from magnoliadyke import endpoint
from magnoliadyke import errors

__all__ = ['EngineControl', 'HttpEngineControl', 'Reading', 'Verdict']

STATE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 1 << 16
STATUS_OK = 200
STATUS_COMMAND_ACCEPTED = 202

#: Closing sends a reset and drops bytes that have not left yet.
RESET_ON_CLOSE = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class Reading(typing.NamedTuple):
    """An engine's own word.

    :param takes_work: False while it is leaving or has left
    :param active: requests that run or wait in it
    """

    state: commands.EngineState
    takes_work: bool
    active: int


class Verdict(typing.NamedTuple):
    """An engine's answer to a command.

    :param code: '' when taken, else the code of the refusal
    :param highest_fencing: highest number that it has seen, if it said so
    """

    code: str
    highest_fencing: int = 0


class EngineControl(abc.ABC):
    """What a planner does to one engine."""

    @abc.abstractmethod
    def read(self):
        """:return: :class:`Reading`

        :raises magnoliadyke.errors.EndpointUnreachable: when it is away
        """

    @abc.abstractmethod
    def send(self, command, left_s, may_send):
        """Send a command, asking once more before its last byte leaves.

        :param command: a :class:`magnoliadyke.core.commands.Command`
        :param left_s: time until the connection is closed, in seconds
        :param may_send: called right before the last byte
        :return: :class:`Verdict`
        :raises magnoliadyke.errors.EndpointUnreachable: when there was no
            answer in time, or nothing was sent
        """

    @abc.abstractmethod
    def close(self):
        """Drop idle connections."""


class HttpEngineControl(EngineControl):
    """The published HTTP protocol of the platform's engines.

    :param address: ``ip:port``, numeric
    :param host: name of this host, sent along for the engine's records
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
        """Read state and load."""
        state = self.get('/v1/state')
        load = self.get('/v1/load')
        try:
            return Reading(
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
                f'{self.address} gave no usable state: {error}', sent=True
            ) from error

    def get(self, path):
        """Return one JSON document."""
        reply = self.connections.call(
            'GET', path, b'', self.headers, STATE_TIMEOUT_S
        )
        if reply.status != STATUS_OK:
            raise errors.EndpointUnreachable(
                f'{self.address}{path} answered {reply.status}', sent=True
            )
        return reply.json()

    def send(self, command, left_s, may_send):
        """Send on a connection of its own, closed at the deadline.

        A command held up on its way could take effect after the successor
        has begun to act. Closing at the deadline with a reset drops what is
        still in this host's buffers; the successor waits that long.
        """
        timeout = errors.EndpointUnreachable(
            f'{self.address}: the command had no answer in time', sent=True
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
        """Send all but the last byte, ask, send it, read the answer."""
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
                    f'{self.address}: authority ended before the last byte'
                )
            connection.send('POST', data[-1:])
        except OSError as error:
            connection.fail(error)
        connection.read_head(left_s)
        text = connection.read_body(MAX_ANSWER_BYTES, left_s)
        return parse_verdict(endpoint.reply_of(connection.parser, text))

    def close(self):
        """Drop idle connections."""
        self.connections.close()


def command_body(command):
    """A command as the engine's protocol has it."""
    kind, target = command.change
    return {
        'id': command.id,
        'kind': kind,
        'role' if kind == 'role' else 'model': target,
        'generation': command.generation,
        'fencing': command.fencing,
        'expires_in_s': command.expires_in_s,
    }


def parse_verdict(reply):
    """What an engine's answer means."""
    if reply.status == STATUS_COMMAND_ACCEPTED:
        return Verdict('')
    try:
        highest = int(reply.json()['error'].get('highest') or 0)
    except (ValueError, KeyError, TypeError, AttributeError):
        highest = 0
    return Verdict(reply.error_code() or f'status {reply.status}', highest)
