"""Client of the admin listeners that tries the hosts in turn."""

import json
import reprlib
import socket
from typing import Any
from typing import NamedTuple
from typing import Sequence

from magnoliadyke.core import table
from magnoliadyke import endpoint
from magnoliadyke import errors

__all__ = ['AdminAddress', 'AdminAnswer', 'AdminClient', 'EditConflict']

CONNECT_TIMEOUT_S = 1.0
#: A host without its store replies to an edit only after its own time limits.
ANSWER_TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 64 << 20

#: Shown in place of a value that must not be printed.
HIDDEN = '(hidden)'

UNAUTHORIZED = 401
CONFLICT = 409


class AdminAddress(NamedTuple):
    """Address of a host's admin listener.

    :param host: name of the host, or ``IP:PORT`` if it is unknown.
    :param address: IP address.
    :param port: TCP port.
    """

    host: str
    address: str
    port: int


class AdminAnswer(NamedTuple):
    """A host's answer that is not an error.

    :param host: host that answered.
    :param status: HTTP status, 200 or 202.
    :param body: decoded JSON.
    """

    host: str
    status: int
    body: Any


class EditConflict(errors.AdminRefused):
    """Cells of the edit were changed after its base revision.

    :param conflicts: mappings with cell, your_value, their_value (the
        current one) and revision (the newest of the table).
    """

    def __init__(
        self, message: str, remedy: str, conflicts: Sequence[dict[str, Any]]
    ):
        super().__init__(message, remedy, status=CONFLICT)
        self.conflicts = tuple(conflicts)


class AdminClient:
    """Sends each request to the hosts in turn until one answers.

    A retry at the next host after a lost answer is safe: reads change
    nothing, and an edit has an idempotency key, so that it is applied once.

    :param addresses: listeners, in the order in which they are tried.
    :param token: the operators' token.
    """

    def __init__(self, addresses: Sequence[AdminAddress], token: str):
        self.addresses = tuple(addresses)
        self.token = token

    def get(self, path: str) -> Any:
        """Send a GET request.

        :param path: path with query.
        :returns: the decoded body.
        :raises HostUnreachable: if no host answers.
        :raises AdminRefused: if a host answers with an error.
        """
        return self.request('GET', path, None).body

    def post(self, path: str, body: dict[str, Any]) -> AdminAnswer:
        """Send a POST request.

        :param path: path of the resource.
        :param body: sent as JSON.
        :raises HostUnreachable: if no host answers.
        :raises EditConflict: if the edit is in conflict with another one.
        :raises AdminRefused: if a host answers with another error.
        """
        return self.request('POST', path, body)

    def request(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> AdminAnswer:
        """Send a request to the first host that answers.

        :param method: HTTP method.
        :param path: path with query.
        :param body: sent as JSON, ``None`` for no body.
        :raises HostUnreachable: if no host answers.
        :raises AdminRefused: if a host answers with an error.
        """
        tried = []
        for address in self.addresses:
            try:
                return self._send(address, method, path, body)
            except errors.EndpointUnreachable as error:
                if isinstance(error.__cause__, socket.gaierror):
                    raise errors.UsageError(
                        f'{address.address!r} is not an IP address',
                        'write IP:PORT',
                    ) from error
                reason = str(error.__cause__ or error)
                tried.append(f'{address.host}: {reason}')
        raise errors.HostUnreachable(
            'no host answered (' + '; '.join(tried) + ')',
            'check that the hosts run and that their addresses are correct',
        )

    def _send(
        self,
        address: AdminAddress,
        method: str,
        path: str,
        body: dict[str, Any] | None,
    ) -> AdminAnswer:
        headers = [('Connection', 'close')]
        if self.token:
            headers.append(('Authorization', f'Bearer {self.token}'))
        data = b''
        if body is not None:
            headers.append(('Content-Type', 'application/json'))
            data = json.dumps(body).encode()
        target = f'{address.address}:{address.port}'
        request = endpoint.request_bytes(method, path, target, headers, data)
        # A new connection for each request: one that is kept may have been
        # closed by the host, and the request would fail.
        http = endpoint.Connection(target, CONNECT_TIMEOUT_S)
        http.socket.settimeout(ANSWER_TIMEOUT_S)
        try:
            http.send(method, request)
            http.read_head(ANSWER_TIMEOUT_S)
            content = http.read_body(MAX_ANSWER_BYTES, ANSWER_TIMEOUT_S)
        finally:
            http.close()
        status = http.parser.status_code
        decoded = _decode(address, content)
        if status >= 400:
            raise _refusal_of(address, status, decoded)
        return AdminAnswer(address.host, status, decoded)


def _decode(address: AdminAddress, content: bytes) -> Any:
    try:
        return json.loads(content) if content else {}
    except ValueError as error:
        raise errors.AdminRefused(
            f'{address.host} answered {reprlib.repr(content)}, not JSON',
            f'check that {address.address}:{address.port} is the admin port',
            status=502,
        ) from error


def _shown_value(cell: str, value: Any) -> str:
    # A key in the clear may have been written in place of its digest, also
    # to a column whose name is misspelt.
    column = table.column_of(cell)
    if column is None or column.kind == 'keys':
        return HIDDEN
    return reprlib.repr(value)


def _refusal_of(
    address: AdminAddress, status: int, body: Any
) -> errors.MagnoliadykeError:
    error = body.get('error', {}) if isinstance(body, dict) else {}
    if not isinstance(error, dict):
        error = {'message': str(error)}
    message = error.get('message') or f'{address.host} answered {status}'
    remedy = error.get('remedy', '')
    if status == CONFLICT:
        return EditConflict(message, remedy, error.get('conflicts', ()))
    for problem in error.get('problems', ()):
        cell = problem.get('cell', '')
        shown = _shown_value(cell, problem.get('value'))
        message += f'\n  {cell}={shown}: {problem.get("message")}'
        if problem.get('remedy'):
            message += f'; {problem["remedy"]}'
    if status == UNAUTHORIZED:
        remedy = "set MAGNOLIADYKE_TOKEN to the operators' token"
    return errors.AdminRefused(message, remedy, status=status)
