"""Client of the admin listeners: asks one host after another."""

import json
import socket
from typing import Any
from typing import NamedTuple
from typing import Sequence

from geventhttpclient import client as httpclient

from magnoliadyke import errors

__all__ = ['AdminAddress', 'AdminAnswer', 'AdminClient', 'EditConflict']

CONNECT_TIMEOUT_S = 1.0
#: A host that lost its store may hold an edit back for a while.
ANSWER_TIMEOUT_S = 30.0

UNAUTHORIZED = 401
CONFLICT = 409


class AdminAddress(NamedTuple):
    """Where a host listens for operators.

    :param host: name of the host, or the address where it isn't known.
    :param address: IP number.
    :param port: TCP port.
    """

    host: str
    address: str
    port: int


class AdminAnswer(NamedTuple):
    """What a host answered.

    :param host: host that answered.
    :param status: HTTP status, 200 or 202.
    :param body: decoded JSON.
    """

    host: str
    status: int
    body: Any


class EditConflict(errors.AdminRefused):
    """Another operator changed the same cells.

    :param conflicts: mappings with cell, base_value, your_value,
        their_value and revision.
    """

    def __init__(
        self, message: str, remedy: str, conflicts: Sequence[dict[str, Any]]
    ):
        super().__init__(message, remedy, status=CONFLICT)
        self.conflicts = tuple(conflicts)


class AdminClient:
    """Asks the admin listeners, the first that answers counts.

    Asking the next host after a lost answer is safe: reads change nothing,
    and an edit carries an id, so that it is applied once.

    :param addresses: listeners, in the order in which they are tried.
    :param token: the operators' token.
    """

    def __init__(self, addresses: Sequence[AdminAddress], token: str):
        self.addresses = tuple(addresses)
        self.token = token

    def get(self, path: str) -> Any:
        """Read something.

        :param path: path with query.
        :returns: the decoded body.
        :raises HostUnreachable: if no host answers.
        :raises AdminRefused: if a host refuses.
        """
        return self.request('GET', path, None).body

    def post(self, path: str, body: dict[str, Any]) -> AdminAnswer:
        """Ask for a change.

        :param path: path of the resource.
        :param body: sent as JSON.
        :raises HostUnreachable: if no host answers.
        :raises AdminRefused: if a host refuses.
        """
        return self.request('POST', path, body)

    def request(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> AdminAnswer:
        """Send a request to the first host that answers.

        :param method: HTTP method.
        :param path: path with query.
        :param body: sent as JSON, ``None`` for no body.
        """
        tried = []
        for address in self.addresses:
            try:
                return self._send(address, method, path, body)
            except (OSError, httpclient.HTTPParseError) as error:
                reason = str(error) or type(error).__name__
                tried.append(f'{address.host}: {reason}')
        raise errors.HostUnreachable(
            'no host answered (' + '; '.join(tried) + ')',
            'check that the hosts run and that the addresses are right',
        )

    def _send(
        self,
        address: AdminAddress,
        method: str,
        path: str,
        body: dict[str, Any] | None,
    ) -> AdminAnswer:
        # One connection for one request: nothing is ever sent again on a
        # connection that went stale.
        http = httpclient.HTTPClient(
            address.address,
            address.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=ANSWER_TIMEOUT_S,
        )
        headers = {'Connection': 'close'}
        if self.token:
            headers['Authorization'] = f'Bearer {self.token}'
        data = b''
        if body is not None:
            headers['Content-Type'] = 'application/json'
            data = json.dumps(body).encode()
        try:
            response = http.request(method, path, data, headers)
            content = bytes(response.read())
            status = response.status_code
        except socket.gaierror as error:
            raise errors.UsageError(
                f'{address.address} is no IP number', 'write IP:PORT'
            ) from error
        finally:
            http.close()
        decoded = _decode(address, content)
        if status >= 400:
            raise _refusal_of(address, status, decoded)
        return AdminAnswer(address.host, status, decoded)


def _decode(address: AdminAddress, content: bytes) -> Any:
    try:
        return json.loads(content) if content else {}
    except ValueError as error:
        raise errors.AdminRefused(
            f'{address.host} answered something that is not JSON',
            f'check that {address.address}:{address.port} is the admin port',
            status=502,
        ) from error


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
        message += f'\n  {problem.get("cell", "")}: {problem.get("message")}'
        if problem.get('remedy'):
            message += f'; {problem["remedy"]}'
    if status == UNAUTHORIZED:
        remedy = "set MAGNOLIADYKE_TOKEN to the operators' token"
    return errors.AdminRefused(message, remedy, status=status)
