"""Parsing of caller requests and building of their answers."""

import hashlib
import hmac
import json
import typing

from magnoliadyke.core import attempts
from magnoliadyke.core import outcomes

__all__ = [
    'KeyRing',
    'ModelRequest',
    'OutcomeError',
    'ServiceRequest',
    'chat_events',
    'error_event',
    'error_outcome',
    'outcome_from',
    'read_chat',
    'read_completion',
    'read_priority',
    'render_answer',
    'request_digest',
]

#: Length of an answer in tokens, if the caller gives none.
DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 1 << 20
MOST_URGENT = 1
PRIORITIES = {'urgent': MOST_URGENT, 'normal': None, 'background': 8}
KEY_PREFIX = 'sha256:'
#: Retry-After of another node that names none that can be read, and the
#: longest that is believed, in seconds.
RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3600.0
INDEX_DIGITS = 8
CHAT_DELTA = rb'"delta":{"content":\1}'
CHAT_OBJECT = b'"object":"chat.completion.chunk"'
TEXT_OBJECT = b'"object":"text_completion"'
ERROR_EVENT = b'event: error\ndata: %b\n\n'


class OutcomeError(Exception):
    """Ends the processing of a request with an outcome.

    :param outcome: the outcome to answer, of
        :mod:`magnoliadyke.core.outcomes`
    """

    def __init__(self, outcome):
        super().__init__(outcome)
        self.outcome = outcome


def reject(reason, remedy, status=400):
    """Reject the request.

    :param reason: machine-readable code
    :param remedy: what the caller has to correct
    :param status: HTTP status
    :raises OutcomeError: always
    """
    raise OutcomeError(outcomes.Rejected(reason, remedy, status))


class ModelRequest(typing.NamedTuple):
    """A completion request of a caller.

    :param key: idempotency key of the caller, or ``''``
    :param customer: name of the customer
    :param credential: value of the Authorization header, for a relay
    :param work: ``model``, ``prompt``, ``max_tokens`` and further fields
        for the engine
    :param priority: 0 (urgent) to 9
    :param repeatable: whether it may be executed more than once
    :param digest: digest of its content, equal for all copies
    :param first: whether the caller states that it is the first copy
    :param hops: hosts that relayed the request here, in order
    """

    key: str
    customer: str
    credential: str
    work: dict
    priority: int
    repeatable: bool
    digest: str
    first: bool = False
    hops: tuple = ()


class ServiceRequest(typing.NamedTuple):
    """A caller's request to a plain service.

    The other fields are those of :class:`ModelRequest`.

    :param service: name of the service
    :param method: HTTP method
    :param path: raw path and query below the service's name
    :param headers: headers to forward, as pairs
    :param body: body to forward, as bytes
    """

    key: str
    customer: str
    credential: str
    service: str
    method: str
    path: str
    headers: tuple
    body: bytes
    priority: int
    repeatable: bool
    digest: str
    first: bool = False
    hops: tuple = ()


class KeyRing:
    """Finds the customer of a caller's key.

    The table holds only digests of keys. They are indexed by their first
    digits and compared in constant time.

    :param view: :class:`magnoliadyke.core.table.View`
    """

    def __init__(self, view):
        self.index = {}
        for name, row in view.customers.items():
            for entry in row.keys:
                digest = entry.removeprefix(KEY_PREFIX)
                found = self.index.setdefault(digest[:INDEX_DIGITS], [])
                found.append((digest, name))

    def customer(self, credential):
        """Return the customer of a credential, or None if it has none.

        :param credential: value of the Authorization header
        """
        scheme, _, key = credential.partition(' ')
        if scheme.lower() != 'bearer':
            return None
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        chosen = None
        for candidate, name in self.index.get(digest[:INDEX_DIGITS], ()):
            if hmac.compare_digest(candidate, digest):
                chosen = name
        return chosen


def read_object(body):
    """Parse the body of a request, which has to be a JSON object.

    :param body: bytes
    :raises OutcomeError: if it is not
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        reject('bad_json', 'the body is no JSON object; send one')
    return document


def read_completion(document):
    """Return the fields for the engine of a completion request.

    :param document: body of ``/v1/completions`` as a dict
    :raises OutcomeError: if a field is missing or invalid
    """
    prompt = document.get('prompt')
    if not isinstance(prompt, str) or not prompt.strip():
        reject('bad_prompt', "send 'prompt' as text that is not empty")
    return read_work(document, prompt)


def read_chat(document):
    """Return the fields for the engine of a chat request.

    The prompt is one line ``role: content`` for each message, and
    ``assistant:`` at the end.

    :param document: body of ``/v1/chat/completions`` as a dict
    :raises OutcomeError: if a field is missing or invalid
    """
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        reject('bad_messages', "send 'messages' as a list that is not empty")
    lines = [read_message(message) for message in messages]
    prompt = '\n'.join([*lines, 'assistant:'])
    return read_work(document, prompt)


def read_message(message):
    """Return the line of the prompt for one chat message.

    :raises OutcomeError: if its role or content is not text
    """
    if not isinstance(message, dict):
        reject('bad_messages', "give each message 'role' and 'content'")
    role, content = message.get('role'), message.get('content')
    if not isinstance(role, str) or not isinstance(content, str):
        reject('bad_messages', "give each message 'role' and 'content'")
    return f'{role}: {content}'


def read_work(document, prompt):
    """Return model, prompt and token limit of a request.

    :raises OutcomeError: if model or limit is missing or invalid
    """
    model = document.get('model')
    if not isinstance(model, str):
        reject('bad_model', "name a model in 'model'")
    limit = document.get('max_tokens', DEFAULT_MAX_TOKENS)
    if not isinstance(limit, int) or not 1 <= limit <= MAX_MAX_TOKENS:
        reject(
            'bad_max_tokens',
            f"send 'max_tokens' as a whole number from 1 to {MAX_MAX_TOKENS}",
        )
    return {'model': model, 'prompt': prompt, 'max_tokens': limit}


def read_priority(text, row_priority):
    """Return the priority of a request.

    :param text: value of ``X-Priority``, or ``''``
    :param row_priority: priority of the customer in the table
    :raises OutcomeError: if the header has another value
    """
    if text and text not in PRIORITIES:
        reject(
            'bad_priority',
            'send X-Priority as urgent, normal or background',
        )
    chosen = PRIORITIES.get(text)
    return row_priority if chosen is None else chosen


def request_digest(*parts):
    """Return the digest of a request's content, which identifies copies.

    :param parts: parts of the content, text or bytes
    """
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(b'%d:' % len(data))
        digest.update(data)
    return digest.hexdigest()[:32]


def chat_events(events):
    """Convert completion events to the format of chat events."""
    events = attempts.TEXT.sub(CHAT_DELTA, events)
    return events.replace(TEXT_OBJECT, CHAT_OBJECT)


def render_answer(key, events, chat):
    """Return a complete model answer as one JSON document (bytes).

    :param key: idempotency key, which becomes the id of the answer
    :param events: all events of the answer
    :param chat: whether the caller used the chat route
    """
    start = events.rindex(attempts.OFFSET_FIELD)
    document = json.loads(events[start + len(b'data: ') :])
    text = attempts.text_of(events)
    reason = document['choices'][0]['finish_reason']
    choice = {'index': 0, 'finish_reason': reason}
    if chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    rendered = {
        'id': key,
        'object': 'chat.completion' if chat else 'text_completion',
        'model': document.get('model', ''),
        'choices': [choice],
        'usage': document.get('usage', {}),
    }
    return json.dumps(rendered).encode()


def error_event(outcome):
    """Return the error event with which an outcome ends a stream."""
    return ERROR_EVENT % outcomes.to_http(outcome).body


def error_outcome(error, status=400):
    """Return the outcome that the error of another node represents.

    :param error: the ``error`` object as a dict
    :param status: HTTP status it came with
    """
    reason = str(error.get('code', 'unknown'))
    remedy = str(error.get('remedy', ''))
    match error.get('type'):
        case 'not_run':
            retry_after_s = _retry_after_s(error.get('retry_after_s'))
            return outcomes.NotRun(reason, remedy, retry_after_s)
        case 'rejected':
            return outcomes.Rejected(reason, remedy, status)
        case _:
            return outcomes.Unknown(reason, remedy)


def _retry_after_s(found):
    if isinstance(found, bool) or not isinstance(found, int | float):
        return RETRY_AFTER_S
    return float(found) if 0 <= found <= MAX_RETRY_AFTER_S else RETRY_AFTER_S


def outcome_from(reply):
    """Return the outcome in another node's reply, or None if it has none.

    :param reply: :class:`magnoliadyke.endpoint.Reply`
    """
    if not reply.outcome:
        return None
    try:
        error = json.loads(reply.body)['error']
    except (ValueError, KeyError, TypeError, RecursionError):
        error = None
    if not isinstance(error, dict):
        error = {'type': reply.outcome}
    return error_outcome(error, reply.status)
