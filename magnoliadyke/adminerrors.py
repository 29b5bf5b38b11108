"""Refusals of the admin listener as JSON."""

import json
from typing import Any

import falcon
import gevent

from magnoliadyke import errors

__all__ = ['Refusal', 'ask', 'install', 'require_text', 'optional_text']

#: Longest name of an operator or an edit, in characters.
NAME_LENGTH = 128


class Refusal(errors.AdminRefused):
    """A request of an operator that is not carried out.

    :param code: short machine-readable word
    :param extra: further fields of the body, such as ``conflicts``
    """

    def __init__(self, status, code, message, remedy='', **extra):
        super().__init__(message, remedy, status)
        self.code = code
        self.extra = extra

    def to_body(self) -> dict[str, Any]:
        """Return the body as a mapping."""
        return _body(self.code, self.message, self.remedy, self.extra)


def install(application) -> None:
    """Let a falcon application answer all errors in the same shape.

    :param application: the :class:`falcon.App`
    """
    application.add_error_handler(Refusal, _answer_refusal)
    application.set_error_serializer(_serialize)


def ask(task, message, timeout_s: float) -> Any:
    """Ask a task of this node; its silence becomes a refusal.

    :param task: the :class:`magnoliadyke.mailbox.Task`
    :param message: the :class:`magnoliadyke.mailbox.Ask`
    :param timeout_s: longest wait in seconds
    """
    try:
        return task.ask(message, timeout_s)
    except gevent.Timeout:
        raise Refusal(
            503,
            'busy',
            'this host did not get to it in time',
            'ask again, with the same edit id, or ask another host',
        ) from None


def optional_text(body: dict[str, Any], field: str) -> str:
    """Read an optional name from a body, empty if it is not given.

    :param body: the request's JSON
    :param field: name of the field
    """
    value = body.get(field)
    if value is None:
        return ''
    if (
        not isinstance(value, str)
        or len(value) > NAME_LENGTH
        or not value.isprintable()
    ):
        raise Refusal(
            400,
            'invalid',
            f'{field} is no name',
            f'send a string of at most {NAME_LENGTH} printable characters',
        )
    return value


def require_text(body: dict[str, Any], field: str) -> str:
    """Read a name that has to be there."""
    value = optional_text(body, field)
    if not value:
        raise Refusal(
            400, 'invalid', f'{field} is missing', f'send {field} in the body'
        )
    return value


def _body(code, message, remedy, extra):
    error = {'code': code, 'message': message, 'remedy': remedy}
    return {'error': error | extra}


def _answer_refusal(_request, response, refusal, _parameters):
    response.status = refusal.status
    response.media = refusal.to_body()


def _serialize(_request, response, error):
    body = _body(
        error.title.lower().replace(' ', '_'),
        error.description or error.title,
        'see docs/OPERATIONS.md for the routes and bodies',
        {},
    )
    response.content_type = falcon.MEDIA_JSON
    response.data = json.dumps(body).encode()
