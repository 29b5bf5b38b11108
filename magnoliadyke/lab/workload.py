"""Calls of a lab run: built from a trace, with answers checked."""

import hashlib
import json
import typing

from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.lab import engine
from magnoliadyke.lab import fakes
from magnoliadyke.lab import standin

__all__ = [
    'ModelCall',
    'Record',
    'ServiceCall',
    'from_trace',
    'prompt',
    'service_calls',
]

URGENT = 'urgent'
NORMAL = 'normal'
#: Completions with a shorter objective for the first token are urgent.
URGENT_FIRST_TOKEN_S = 1.0


class ModelCall(typing.NamedTuple):
    """A completion to request.

    :param at_s: when to send it, in seconds from the start of the run
    :param job: its customer, lengths and objectives
    :param priority: of the request, urgent or normal
    """

    at_s: float
    job: jobs.Job
    prompt: str
    priority: str


class ServiceCall(typing.NamedTuple):
    """A call of a plain service.

    :param at_s: when to send it, in seconds from the start of the run
    :param job: its customer and whether it is repeatable
    :param service: name of the service's pool
    """

    at_s: float
    job: jobs.Job
    service: str
    method: str
    path: str
    body: str


class Record(fakes.Answer):
    """The course of one call.

    :param call: :class:`ModelCall` or :class:`ServiceCall`
    :ivar key: idempotency key of the answered attempt, '' before
    :ivar text: of the answer
    :ivar retried_outcomes: outcomes after which the call was sent again
    """

    __slots__ = ('call', 'key', 'text', 'retried_outcomes')

    def __init__(self, call):
        super().__init__(call.job)
        self.call = call
        self.key = ''
        self.text = ''
        self.retried_outcomes = []

    def content_digest(self):
        """Digest that identifies this call in the ledgers."""
        match self.call:
            case ModelCall(prompt=text):
                return standin.content_digest(text)
            case ServiceCall(method=method, path=path, body=body):
                return standin.content_digest(method, path, body)

    def is_correct(self):
        """Whether the answer is complete and belongs to this call."""
        if not isinstance(self.outcome, outcomes.Answered):
            return False
        match self.call:
            case ModelCall(prompt=text):
                short_digest = engine.digest(text)
                count = self.job.output_tokens
                return self.text == engine.answer_text(short_digest, 0, count)
            case ServiceCall(path=path, body=body):
                return is_echo(self.text, path, body)


def is_echo(text, path, body):
    """Whether the text of a service's answer echoes the call."""
    try:
        answer = json.loads(text)
    except ValueError:
        return False
    return answer.get('path') == path and answer.get('body') == body


def prompt(number, request):
    """Build a prompt with the number of tokens that the trace gives.

    One word is one token.  Its first ``prefix_tokens`` words are shared with
    all requests of the same ``prefix_id``; the others are its own.

    :param number: index of the request; makes the words that it shares with
        no other request unique
    :param request: :class:`magnoliadyke.lab.traces.Request`
    """
    shared = short_digest(request.prefix_id)
    own = short_digest(f'{number}/{request.prompt_tokens}')
    words = [f'{shared}{i}' for i in range(request.prefix_tokens)]
    words += [f'{own}{i}' for i in range(len(words), request.prompt_tokens)]
    return ' '.join(words)


def short_digest(text):
    """The first four hexadecimal digits of a text's SHA-256, and a dot."""
    return hashlib.sha256(text.encode()).hexdigest()[:4] + '.'


def from_trace(requests):
    """Build the calls of a trace.

    :param requests: :class:`magnoliadyke.lab.traces.Request` in order
    """
    return [
        model_call(number, request) for number, request in enumerate(requests)
    ]


def model_call(number, request):
    """Build the call of one row of a trace."""
    job = jobs.Job(
        id=str(number),
        customer=request.customer,
        pool=request.model,
        model=request.model,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        repeatable=request.repeatable,
        first_token_s=request.first_token_s,
        per_token_s=request.per_token_s,
        arrived_s=request.at_s,
    )
    urgent = request.first_token_s < URGENT_FIRST_TOKEN_S
    text = prompt(number, request)
    return ModelCall(request.at_s, job, text, URGENT if urgent else NORMAL)


def service_calls(customer, pool, duration_s, per_s):
    """Build calls of a plain service that use its routes round-robin.

    :param customer: who calls
    :param pool: the service's pool, as in the settings
    :param per_s: calls per second
    """
    routes = pool['routes']
    calls = []
    for number in range(int(duration_s * per_s)):
        route = routes[number % len(routes)]
        at_s = number / per_s
        job = jobs.Job(
            id=f'service-{number}',
            customer=customer,
            pool=pool['name'],
            kind='service',
            repeatable=route['repeatable'],
            arrived_s=at_s,
        )
        path = route['path'].replace('*', str(number))
        body = ''
        if route['method'] != 'GET':
            body = json.dumps({'number': number})
        calls.append(
            ServiceCall(at_s, job, pool['name'], route['method'], path, body)
        )
    return calls
