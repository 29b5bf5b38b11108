"""Requests of a lab run: built from a trace, and judged when they are done."""

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
#: An objective of the first token below this marks an urgent exchange.
URGENT_FIRST_TOKEN_S = 1.0


class ModelCall(typing.NamedTuple):
    """A completion to ask for.

    :param at_s: when, in seconds from the start of the run
    :param job: what the figures of the run need to know of it
    """

    at_s: float
    job: jobs.Job
    prompt: str
    priority: str


class ServiceCall(typing.NamedTuple):
    """A call of a plain service.

    :param at_s: when, in seconds from the start of the run
    :param service: name of the service's pool
    """

    at_s: float
    job: jobs.Job
    service: str
    method: str
    path: str
    body: str


class Record(fakes.Answer):
    """What became of one call.

    :param call: :class:`ModelCall` or :class:`ServiceCall`
    :ivar told: outcomes after which the caller came back
    """

    __slots__ = ('call', 'key', 'text', 'retried_outcomes')

    def __init__(self, call):
        super().__init__(call.job)
        self.call = call
        self.key = ''
        self.text = ''
        self.retried_outcomes = []

    def content_digest(self):
        """What marks this call in the ledgers."""
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
    """Whether a service's answer echoes the call."""
    try:
        answer = json.loads(text)
    except ValueError:
        return False
    return answer.get('path') == path and answer.get('body') == body


def prompt(number, request):
    """A prompt of the length that a trace asks for.

    Its first ``prefix_tokens`` words are those of all requests with the same
    ``prefix_id``; the rest is its own.
    """
    shared = short_digest(request.prefix_id)
    own = short_digest(f'{number}/{request.prompt_tokens}')
    words = [f'{shared}{i}' for i in range(request.prefix_tokens)]
    words += [f'{own}{i}' for i in range(len(words), request.prompt_tokens)]
    return ' '.join(words)


def short_digest(text):
    """A short word that stands for a text."""
    return hashlib.sha256(text.encode()).hexdigest()[:4] + '.'


def from_trace(requests):
    """The completions of a trace.

    :param requests: :class:`magnoliadyke.lab.traces.Request` in order
    """
    return [
        model_call(number, request) for number, request in enumerate(requests)
    ]


def model_call(number, request):
    """The completion of one row of a trace."""
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
    """Calls of a plain service, over its routes in turn.

    :param customer: who calls
    :param pool: the service's pool, as the settings have it
    :param per_s: calls a second
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
