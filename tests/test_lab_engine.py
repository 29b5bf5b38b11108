"""The engine stand-in keeps to the published protocol."""

import json
import unittest

from magnoliadyke.lab import engine
from magnoliadyke.lab import standin

QUICK = {
    'prefill_s_per_token': 0.00001,
    'decode_base_s': 0.001,
    'decode_s_per_stream': 0.0,
    'role_change_s': 0.05,
}


def request(method, path, body=None, query=None):
    """A request as the server would hand it over."""
    data = b'' if body is None else json.dumps(body).encode()
    return standin.Request(method, path, query or {}, {}, data)


def completion(run_id, tokens=3, **fields):
    """Body of a completion."""
    return {
        'id': run_id,
        'model': 'lease-model',
        'prompt': 'lease file',
        'max_tokens': tokens,
        'stream': True,
        **fields,
    }


def parse(text):
    """The events in the text of a stream."""
    lines = [x[6:] for x in text.split('\n') if x.startswith('data: {')]
    return [json.loads(line) for line in lines]


class EngineStandInTest(unittest.TestCase):
    def setUp(self):
        self.engine = self.make()

    def make(self, **fields):
        made = engine.EngineStandIn(engine.Spec(speeds=QUICK, **fields))
        made.start()
        return made

    def call(self, method, path, body=None, query=None):
        return self.engine.handle(request(method, path, body, query))

    def events(self, answer):
        """Parsed events of a stream, the end mark left out."""
        text = b''.join(answer.chunks).decode()
        self.assertTrue(text.endswith('data: [DONE]\n\n'))
        return parse(text)

    def text(self, events):
        return ''.join(e['choices'][0]['text'] for e in events)

    def test_a_stream_is_whole_and_ends_with_its_mark(self):
        answer = self.call('POST', '/v1/completions', completion('a'))
        events = self.events(answer)
        expected = engine.answer_text(engine.digest('lease file'), 0, 3)
        self.assertEqual(expected, self.text(events))
        self.assertEqual(3, events[-1]['offset'])
        self.assertEqual('stop', events[-1]['choices'][0]['finish_reason'])
        self.assertEqual(3, events[-1]['usage']['completion_tokens'])

    def test_an_id_runs_once_and_can_be_resumed(self):
        self.events(self.call('POST', '/v1/completions', completion('a')))
        again = self.call('POST', '/v1/completions', completion('a'))
        self.assertEqual(409, again.status)
        resumed = self.call('GET', '/v1/streams/a', query={'offset': '2'})
        self.assertEqual([2, 3], [e['offset'] for e in self.events(resumed)])
        unknown = self.call('GET', '/v1/streams/b')
        self.assertEqual(404, unknown.status)

    def test_a_cancelled_stream_has_no_end_mark(self):
        answer = self.call('POST', '/v1/completions', completion('a', 500))
        chunks = iter(answer.chunks)
        next(chunks)
        self.call('POST', '/v1/streams/a/cancel')
        rest = b''.join(chunks)
        self.assertNotIn(b'[DONE]', rest)
        self.assertNotIn(b'"stop"', rest)

    def test_an_exported_stream_goes_on_elsewhere(self):
        answer = self.call('POST', '/v1/completions', completion('a', 40))
        chunks = iter(answer.chunks)
        first = next(chunks) + next(chunks)
        export = json.loads(
            self.call('POST', '/v1/kv/export', {'id': 'a'}).body
        )
        first += b''.join(chunks)
        begun = self.engine.runs['a'].produced
        self.assertEqual(begun, export['offset'])
        other = self.make()
        onward = other.handle(
            request(
                'POST',
                '/v1/completions',
                completion('a.2', 40, offset=export['offset']),
            )
        )
        text = first.decode() + b''.join(onward.chunks).decode()
        whole = engine.answer_text(engine.digest('lease file'), 0, 40)
        self.assertEqual(whole, self.text(parse(text)))

    def test_a_refused_request_did_not_run(self):
        self.call('POST', '/faults', {'kind': 'refuse', 'for_s': 60})
        answer = self.call('POST', '/v1/completions', completion('a'))
        self.assertEqual(503, answer.status)
        self.assertEqual('not_run', json.loads(answer.body)['error']['code'])
        rows = [row['what'] for row in self.engine.ledger.rows]
        self.assertNotIn('run', rows)
