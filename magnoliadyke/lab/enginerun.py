"""A run of one prompt on an engine stand-in, and its output text."""

import hashlib
import json

from gevent import event

__all__ = ['Run', 'answer_text', 'digest', 'output_tokens']

DIGEST_HEX_DIGITS = 6
LENGTH_PREFIX = 'answer-tokens:'
DONE = b'data: [DONE]\n\n'


class Run:
    """One prompt submitted to the engine, and its progress.

    :param kind: ``prefill``, ``decode`` or ``both``
    :param total: length of the complete output, in tokens
    :param offset: number of output tokens generated earlier
    :ivar produced: number of output tokens so far, ``offset`` included
    :ivar end_reason: ``finished``, ``cancelled`` or ``exported``; empty
        while the run is in progress
    :ivar changed: set, and replaced by a new event, at each change
    """

    def __init__(self, run_id, kind, prompt, model, total, offset):
        self.id = run_id
        self.kind = kind
        self.prompt = prompt
        self.model = model
        self.digest = digest(prompt)
        self.prompt_tokens = len(prompt.split())
        self.total = total
        self.produced = offset
        self.cached_tokens = 0
        self.end_reason = ''
        self.changed = event.Event()
        frame = {
            'id': run_id,
            'object': 'text_completion',
            'model': model,
            'choices': [{'index': 0, 'text': '@', 'finish_reason': None}],
        }
        text = json.dumps(frame, separators=(',', ':'))
        head, _, tail = text[1:].rpartition('@')
        self.head = head.encode()
        self.tail = tail.encode()

    def notify(self):
        """Wake all greenlets that wait for a change of this run."""
        changed, self.changed = self.changed, event.Event()
        changed.set()

    def frame(self, start, end):
        """Return the server-sent event with tokens ``start`` to ``end``."""
        text = answer_text(self.digest, start, end).encode()
        return b'data: {"offset":%d,"end":%d,%b%b%b\n\n' % (
            start,
            end,
            self.head,
            text,
            self.tail,
        )

    def last_frame(self):
        """Return the final event of the answer, followed by ``[DONE]``."""
        frame = {
            'offset': self.produced,
            'id': self.id,
            'object': 'text_completion',
            'model': self.model,
            'choices': [{'index': 0, 'text': '', 'finish_reason': 'stop'}],
            'usage': {
                'prompt_tokens': self.prompt_tokens,
                'completion_tokens': self.produced,
                'cached_tokens': self.cached_tokens,
            },
        }
        text = json.dumps(frame, separators=(',', ':'))
        return b'data: %b\n\n%b' % (text.encode(), DONE)


def answer_text(prompt_digest, start, end):
    """Return the text of the output tokens ``start`` to ``end``.

    It depends on the prompt alone, so that a checker can tell a complete
    answer from a truncated one and from that of another request.
    """
    return ''.join(f'{prompt_digest}-{i} ' for i in range(start, end))


def digest(prompt):
    """Return the digest of a prompt that its answer's tokens repeat."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_HEX_DIGITS]


def output_tokens(body):
    """Return the length of the answer, in tokens.

    It is ``max_tokens``, or less if a word of the prompt,
    ``answer-tokens:N``, requests a shorter answer.
    """
    limit = max(1, int(body.get('max_tokens') or 16))
    for word in body['prompt'].split():
        if word.startswith(LENGTH_PREFIX):
            return max(1, min(limit, int(word[len(LENGTH_PREFIX) :])))
    return limit
