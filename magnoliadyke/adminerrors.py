"""Error answers of the admin listener, as JSON."""

import json
import reprlib
from typing import Any

import falcon
import gevent

from magnoliadyke import errors

__all__ = [
    'Refusal',
    'ask',
    'install_error_handlers',
    'optional_text',
    'require_text',
]

#: Maximum length of the name of an operator or an edit, in characters.
MAX_TEXT_LENGTH = 128


class Refusal(errors.AdminRefused):
    """An error answer to an operator's request.

    :param status: HTTP status
    :param code: machine-readable code
    :param message: the cause
    :param remedy: action that corrects it
    :param extra: further fields of the body, such as ``conflicts``
    """

    def __init__(self, status, code, message, remedy='', **extra):
        super().__init__(message, remedy, status)
        self.code = code
        self.extra = extra

    def to_body(self) -> dict[str, Any]:
        """Return the body of the answer."""
        return _body(self.code, self.message, self.remedy, self.extra)


def install_error_handlers(application) -> None:
    """Make a falcon application answer all errors in the same format.

    :param application: the :class:`falcon.App`
    """
    application.add_error_handler(Refusal, _answer_refusal)
    application.set_error_serializer(_serialize)


def ask(task, message, timeout_s: float) -> Any:
    """Send a message to a task of this node and return its reply.

    :param task: the :class:`magnoliadyke.mailbox.Task`
    :param message: the :class:`magnoliadyke.mailbox.Ask`
    :param timeout_s: time limit in seconds
    :raises Refusal: with status 503, if it does not reply in time
    """
    try:
        return task.ask(message, timeout_s)
    except gevent.Timeout:
        raise Refusal(
            503,
            'busy',
            f'this host did not process the request within {timeout_s:g} s',
            'send it again with the same edit id, or to another host',
        ) from None


def optional_text(body: dict[str, Any], field: str) -> str:
    """Return an optional text field of a body, ``''`` if it is missing.

    :param body: the request's JSON
    :param field: name of the field
    :raises Refusal: if it is not a short printable string
    """
    value = body.get(field)
    if value is None:
        return ''
    if (
        not isinstance(value, str)
        or len(value) > MAX_TEXT_LENGTH
        or not value.isprintable()
    ):
        raise Refusal(
            400,
            'invalid',
            f'{field!r} is {reprlib.repr(value)}, not short printable text',
            f'send a string of at most {MAX_TEXT_LENGTH} printable characters',
        )
    return value


def require_text(body: dict[str, Any], field: str) -> str:
    """Return a required text field of a body.

    :param body: the request's JSON
    :param field: name of the field
    :raises Refusal: if it is missing, empty or not a short printable string
    """
    value = optional_text(body, field)
    if not value:
        raise Refusal(
            400,
            'invalid',
            f'{field!r} is missing or empty',
            f'send a string of at most {MAX_TEXT_LENGTH} printable characters',
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
