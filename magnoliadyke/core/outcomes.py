"""Possible outcomes of a request, as tagged dataclasses."""

import dataclasses
import json
import math
import typing

__all__ = [
    'LIMIT_REASONS',
    'Answered',
    'HttpAnswer',
    'NotRun',
    'Outcome',
    'Rejected',
    'Unknown',
    'to_http',
]

# Reasons of NotRun caused by the customer's own limits: HTTP 429, not 503.
LIMIT_REASONS = frozenset(
    {'concurrency_limit', 'request_rate_limit', 'token_rate_limit'}
)

STATUS_OK = 200
STATUS_LIMITED = 429
STATUS_UNAVAILABLE = 503
STATUS_UNKNOWN = 504


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request ran to completion.

    :param key: idempotency key
    :param text: the complete answer
    :param finish_reason: why the endpoint ended the answer, such as ``stop``
    :param prompt_tokens: prompt length in tokens
    :param output_tokens: answer length in tokens
    """

    key: str
    text: str
    finish_reason: str = 'stop'
    prompt_tokens: int = 0
    output_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run.

    :param reason: short machine-readable code
    :param remedy: what the caller can do
    :param retry_after_s: when to retry, in seconds
    """

    reason: str
    remedy: str
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran is unknown."""

    reason: str
    remedy: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request is invalid as it is; a resend would be rejected too.

    :param status: HTTP status, 400 to 499
    """

    reason: str
    remedy: str
    status: int = 400


Outcome = Answered | NotRun | Unknown | Rejected


class HttpAnswer(typing.NamedTuple):
    """An outcome as an HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def to_http(outcome):
    """Map an outcome to an HTTP response; no other code decides this.

    :param outcome: one of the tagged outcomes
    :return: :class:`HttpAnswer` with a JSON body
    """
    match outcome:
        case Answered():
            return _answered_http(outcome)
        case NotRun(reason, remedy, retry_after_s):
            return _not_run_http(reason, remedy, retry_after_s)
        case Unknown(reason, remedy):
            message = f'the request may have run: {reason}'
            return _error_http(
                STATUS_UNKNOWN, 'unknown', reason, message, remedy
            )
        case Rejected(reason, remedy, status):
            message = f'the request was rejected: {reason}'
            return _error_http(status, 'rejected', reason, message, remedy)


def _answered_http(outcome):
    body = {
        'id': outcome.key,
        'object': 'text_completion',
        'choices': [
            {
                'index': 0,
                'text': outcome.text,
                'finish_reason': outcome.finish_reason,
            }
        ],
        'usage': {
            'prompt_tokens': outcome.prompt_tokens,
            'completion_tokens': outcome.output_tokens,
            'total_tokens': outcome.prompt_tokens + outcome.output_tokens,
        },
    }
    return HttpAnswer(STATUS_OK, (), json.dumps(body).encode())


def _not_run_http(reason, remedy, retry_after_s):
    limited = reason in LIMIT_REASONS
    status = STATUS_LIMITED if limited else STATUS_UNAVAILABLE
    answer = _error_http(
        status,
        'not_run',
        reason,
        f'the request did not run: {reason}',
        remedy,
        retry_after_s,
    )
    # The header holds whole seconds only; the body has the exact value.
    seconds = str(max(1, math.ceil(retry_after_s)))
    return answer._replace(headers=(('Retry-After', seconds),))


def _error_http(status, kind, reason, message, remedy, retry_after_s=None):
    error = {
        'type': kind,
        'code': reason,
        'message': message,
        'remedy': remedy,
    }
    if retry_after_s is not None:
        error['retry_after_s'] = round(retry_after_s, 3)
    return HttpAnswer(status, (), json.dumps({'error': error}).encode())
