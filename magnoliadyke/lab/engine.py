"""Stand-in for a model engine: its HTTP protocol over a step model."""

import collections
import http.client
import json
import secrets
import time
import typing

import gevent
from gevent import event

from magnoliadyke.core import prefixes
from magnoliadyke.lab import cacheevents
from magnoliadyke.lab import enginecommands
from magnoliadyke.lab import enginemodel
from magnoliadyke.lab import enginerun
from magnoliadyke.lab import standin

__all__ = ['EngineStandIn', 'Spec', 'answer_text', 'digest', 'main']

KV_EXPORT_RETENTION_S = 60.0
KV_FETCH_TIMEOUT_S = 5.0
REPORT_INTERVAL_S = 0.1
MAX_REPORTS = 600
KEEP_ALIVE_INTERVAL_S = 1.0
SILENCE_DURATION_S = 600.0
MAX_RUNS = 50_000
KEEP_ALIVE_COMMENT = b': keep-alive\n\n'

#: For checkers, which compute the expected answers.
answer_text = enginerun.answer_text
digest = enginerun.digest


class Spec(typing.NamedTuple):
    """Settings of the stand-in.

    :param role: initial role
    :param checks_fencing: whether it rejects stale fencing tokens
    :param models: models that are loaded initially
    :param speeds: fields of :class:`enginemodel.EngineSpec`
    :param report_lag_s: minimum age of the load report that it returns
    :param event_delay_s: delay until a cache event is published
    :param event_loss: share of cache events that are lost
    :param load_s: duration of a model load
    :param queue_limit: number of waiting requests from which it rejects
        further ones
    :param crash_word: a prompt with this word crashes the process
    :param ledger: path of the ledger file; in memory only if empty
    """

    name: str = 'engine'
    role: str = enginemodel.DECODE
    checks_fencing: bool = True
    models: typing.Sequence[str] = ('lease-model',)
    speeds: typing.Mapping[str, float] = {}
    report_lag_s: float = 0.5
    event_delay_s: float = 0.3
    event_loss: float = 0.02
    load_s: float = 2.0
    queue_limit: int = 512
    crash_word: str = 'crash-engine'
    ledger: str = ''


class ExportedCache(typing.NamedTuple):
    """An exported KV cache that another engine may import.

    :param offset: number of output tokens that it includes
    :param until_s: monotonic time at which it expires
    """

    prompt_tokens: int
    offset: int
    until_s: float


class EngineStandIn:
    """An engine that speaks the published HTTP protocol, with faults.

    Faults, by ``POST /faults {"kind", ...}``: ``refuse`` (``for_s``),
    ``silent`` (open streams send no more bytes but stay connected; new ones
    work), ``lag`` (``for_s``, ``lag_s``), ``lose_events`` (``for_s``,
    ``share``), ``lose_reply`` (``count``: commands whose response is lost),
    ``crash_in_change``, ``fail_change`` (a role change ends in the old
    role), ``crash`` (at once), ``leaving`` (the published state, but requests
    are still accepted), ``left`` (requests are rejected), ``back``, ``clear``.
    """

    def __init__(self, spec):
        self.spec = spec
        self.faults = standin.Faults()
        self.ledger = standin.Ledger(spec.ledger)
        speeds = enginemodel.EngineSpec(**spec.speeds)
        self.model = enginemodel.EngineModel(
            speeds, spec.role, report_tokens=True, now_s=time.monotonic()
        )
        self.state = 'in'
        self.runs = collections.OrderedDict()
        self.exported_caches = {}
        self.reports = collections.deque(maxlen=MAX_REPORTS)
        self.silence_count = 0
        self.wake = event.Event()
        self.events = cacheevents.EventLog(spec.event_delay_s, spec.event_loss)
        self.commands = enginecommands.Commands(
            self.model, self.faults, self.ledger, spec, self.wake
        )

    def start(self):
        """Start the engine's background tasks."""
        for task in (
            self.run_model,
            self.record_reports_forever,
            self.wake_idle_streams,
        ):
            gevent.spawn(task)

    # Background tasks.

    def run_model(self):
        """Advance the model in real time and apply its events to the runs."""
        while True:
            now_s = time.monotonic()
            for model_event in self.model.advance(now_s):
                self.apply_event(model_event, now_s)
            next_s = self.model.next_event_s()
            self.wake.clear()
            if next_s is None:
                self.wake.wait()
            else:
                self.wake.wait(max(0.0, next_s - time.monotonic()))

    def apply_event(self, model_event, now_s):
        match model_event:
            case enginemodel.Token(run_id, index):
                run = self.runs[run_id]
                run.produced = index + 1
                run.notify()
            case enginemodel.PrefillDone(run_id, _, cached_tokens):
                self.record_prefill_done(self.runs[run_id], cached_tokens)
            case enginemodel.Finished(run_id):
                self.finish_run(self.runs[run_id], 'finished')
            case enginemodel.RoleChanged(role):
                self.commands.record_role_change(role)
            case enginemodel.CacheStored(blocks):
                self.events.add('stored', blocks, now_s, self.event_loss())
            case enginemodel.CacheEvicted(blocks):
                self.events.add('evicted', blocks, now_s, self.event_loss())

    def record_prefill_done(self, run, cached_tokens):
        """Record a prefill's end; crash if its prompt has the crash word."""
        run.cached_tokens = cached_tokens
        self.crash_on_crash_word(run)
        if run.kind == enginemodel.PREFILL:
            self.finish_run(run, 'finished')

    def crash_on_crash_word(self, run):
        """Crash the process if the prompt contains the crash word."""
        if self.spec.crash_word in run.prompt.split():
            self.ledger.write(
                'crash', id=run.id, running=self.active_run_ids()
            )
            standin.crash()

    def active_run_ids(self):
        """Return the ids of the runs that have not ended."""
        return [run.id for run in self.runs.values() if not run.end_reason]

    def finish_run(self, run, end):
        """End a run, and record it in the ledger.

        :param end: ``finished``, ``cancelled`` or ``exported``
        """
        run.end_reason = end
        run.notify()
        self.ledger.write('end', id=run.id, end=end, tokens=run.produced)
        # Exports and resumes use the output, not the prompt: free it.
        run.prompt = ''

    def record_reports_forever(self):
        """Record load reports, which are returned only after the lag."""
        while True:
            now_s = time.monotonic()
            self.reports.append(self.build_report(now_s))
            self.evict_old(now_s)
            gevent.sleep(REPORT_INTERVAL_S)

    def build_report(self, now_s):
        """Return the current load report."""
        report = self.model.report(now_s)
        state = self.state
        if state == 'in' and self.commands.is_changing():
            state = 'changing'
        return report._replace(
            state=state, generation=self.commands.generation
        )

    def evict_old(self, now_s):
        """Remove expired KV exports and, above the limit, the oldest runs.

        A run in progress stays, and with it all that began after it.
        """
        for kv_id, cache in list(self.exported_caches.items()):
            if cache.until_s < now_s:
                del self.exported_caches[kv_id]
        while len(self.runs) > MAX_RUNS:
            oldest = next(iter(self.runs.values()))
            if not oldest.end_reason:
                return
            del self.runs[oldest.id]

    def wake_idle_streams(self):
        """Wake idle streams so that they send a keep-alive comment.

        One timer for all streams costs less than one for each.
        """
        while True:
            gevent.sleep(KEEP_ALIVE_INTERVAL_S)
            for run in list(self.runs.values()):
                if not run.end_reason:
                    run.notify()

    # Handlers of HTTP requests.

    def handle(self, request):
        """Route one request to its handler."""
        match [request.method, *request.path.split('/')[1:]]:
            case ['POST', 'v1', 'completions']:
                return self.complete(request)
            case ['POST', 'v1', 'prefill']:
                return self.prefill(request)
            case ['GET', 'v1', 'streams', run_id]:
                return self.resume(run_id, request)
            case ['POST', 'v1', 'streams', run_id, 'cancel']:
                return self.cancel(run_id, request)
            case ['POST', 'v1', 'kv', 'export']:
                return self.export(request)
            case ['GET', 'v1', 'kv', kv_id]:
                return self.read_exported_cache(kv_id)
            case ['GET', 'v1', 'load']:
                return self.read_load()
            case ['GET', 'v1', 'state']:
                return standin.json_answer(
                    200, self.commands.published_state(self.state)
                )
            case ['GET', 'v1', 'cache_events']:
                return self.cache_events(request)
            case ['POST', 'v1', 'commands']:
                return self.commands.handle(request)
            case ['GET', 'health']:
                return standin.json_answer(200, {'state': self.state})
            case ['GET', 'ledger']:
                rows = list(self.ledger.rows)
                return standin.json_answer(200, {'rows': rows})
            case ['POST', 'faults']:
                return self.set_fault(request.json())
        return standin.error_answer(404, 'no_such_path', request.path)

    def complete(self, request):
        """Handle ``POST /v1/completions``: start a stream."""
        body = request.json()
        if not body.get('stream'):
            raise ValueError('stream must be true')
        refusal = self.find_refusal(body, body['id'])
        if refusal is not None:
            return refusal
        offset = int(body.get('offset') or 0)
        kind = 'both'
        if body.get('kv'):
            kind = enginemodel.DECODE
            cache = fetch_cache(body['kv'])
            if cache is None:
                return not_run('the KV cache to import is not available')
            offset = cache['offset'] if 'offset' not in body else offset
            # The fetch yields: a duplicate may have been accepted meanwhile.
            refusal = self.find_refusal(body, body['id'])
            if refusal is not None:
                return refusal
        total = enginerun.output_tokens(body)
        run = self.submit(body['id'], kind, body, total, offset, request)
        return standin.EventStream(self.stream(run, offset))

    def find_refusal(self, body, run_id):
        """Return the response that rejects a request, or None."""
        if self.state == 'left' or self.faults.get('refuse') is not None:
            return not_run('the engine does not accept requests')
        if body.get('model') not in self.commands.models:
            return not_run(f'model {body.get("model")!r} is not loaded')
        waiting = self.model.report(time.monotonic()).queued
        if waiting >= self.spec.queue_limit:
            return not_run('the queue is full')
        if run_id in self.runs:
            return standin.error_answer(
                409, 'duplicate_id', 'resume it or use another id'
            )
        return None

    def submit(self, run_id, kind, body, total, offset, request):
        """Submit work to the model and record it in the ledger."""
        prompt = body['prompt']
        run = enginerun.Run(run_id, kind, prompt, body['model'], total, offset)
        words = prompt.split()
        salt = body.get('cache_salt', '')
        blocks = () if kind == 'decode' else prefixes.block_ids(words, salt)
        work = enginemodel.Work(
            run_id,
            kind,
            max(1, len(words)),
            output_tokens=total,
            priority=int(body.get('priority', 5)),
            prefix_blocks=blocks,
            offset=offset,
        )
        self.ledger.write(
            'run',
            id=run_id,
            key=request.header('X-Request-Key'),
            sender=request.header('X-Sender'),
            kind=kind,
            content=standin.content_digest(prompt),
            offset=offset,
            total=total,
            prompt_tokens=run.prompt_tokens,
            priority=work.priority,
            state=self.state,
        )
        self.runs[run_id] = run
        self.model.submit(work, time.monotonic())
        self.wake.set()
        return run

    def stream(self, run, offset):
        """Generate the server-sent events of a run from an offset on."""
        silence_count_at_open = self.silence_count
        last_sent_s = time.monotonic()
        # The server sends the response head with the first chunk: yielding
        # one at once lets the client see that the engine has the request.
        yield KEEP_ALIVE_COMMENT
        while True:
            if silence_count_at_open != self.silence_count:
                gevent.sleep(SILENCE_DURATION_S)
                return
            changed = run.changed
            if run.produced > offset:
                start, offset = offset, run.produced
                last_sent_s = time.monotonic()
                yield run.frame(start, offset)
            elif run.end_reason == 'finished':
                yield run.last_frame()
                return
            elif run.end_reason:
                # Cancelled or exported: without the final event, no client
                # can mistake the partial output for a complete answer.
                return
            else:
                changed.wait()
                now_s = time.monotonic()
                if (
                    run.produced <= offset
                    and now_s - last_sent_s >= KEEP_ALIVE_INTERVAL_S
                ):
                    last_sent_s = now_s
                    if silence_count_at_open == self.silence_count:
                        yield KEEP_ALIVE_COMMENT

    def prefill(self, request):
        """Handle ``POST /v1/prefill``: prefill and export the KV cache."""
        body = request.json()
        run_id = prefill_id(body['id'])
        refusal = self.find_refusal(body, run_id)
        if refusal is not None:
            return refusal
        run = self.submit(run_id, enginemodel.PREFILL, body, 0, 0, request)
        while not run.end_reason:
            run.changed.wait()
        if run.end_reason != 'finished':
            return standin.error_answer(
                409, run.end_reason, 'the prefill ended early'
            )
        kv_id = self.export_cache(run.prompt_tokens, 0)
        return standin.json_answer(
            200,
            {
                'kv_id': kv_id,
                'prompt_tokens': run.prompt_tokens,
                'cached_tokens': run.cached_tokens,
            },
        )

    def export_cache(self, prompt_tokens, offset):
        """Store an exported KV cache until it expires.

        :returns: its id
        """
        kv_id = secrets.token_hex(8)
        until_s = time.monotonic() + KV_EXPORT_RETENTION_S
        self.exported_caches[kv_id] = ExportedCache(
            prompt_tokens, offset, until_s
        )
        return kv_id

    def read_exported_cache(self, kv_id):
        """Handle ``GET /v1/kv/ID``: return an exported KV cache."""
        cache = self.exported_caches.get(kv_id)
        if cache is None:
            return standin.error_answer(404, 'unknown_kv', kv_id)
        return standin.json_answer(
            200,
            {'prompt_tokens': cache.prompt_tokens, 'offset': cache.offset},
        )

    def resume(self, run_id, request):
        """Handle ``GET /v1/streams/ID``: resume a stream from an offset."""
        run = self.runs.get(run_id)
        offset = int(request.query.get('offset', '0'))
        moved = run is not None and run.end_reason not in ('', 'finished')
        if run is None or moved:
            return standin.error_answer(404, 'unknown_stream', run_id)
        return standin.EventStream(self.stream(run, offset))

    def cancel(self, run_id, request):
        """Handle ``POST /v1/streams/ID/cancel``: end a stream or a prefill."""
        found = False
        for name in (run_id, prefill_id(run_id)):
            run = self.runs.get(name)
            if run is not None and not run.end_reason:
                self.model.cancel(name, time.monotonic())
                self.finish_run(run, 'cancelled')
                found = True
        self.wake.set()
        if not found and run_id not in self.runs:
            return standin.error_answer(404, 'unknown_stream', run_id)
        return standin.json_answer(200, {'cancelled': found})

    def export(self, request):
        """Handle ``POST /v1/kv/export``: stop a stream, export its KV cache.

        Another engine can import it and continue the stream.
        """
        run_id = request.json()['id']
        run = self.runs.get(run_id)
        if run is None or run.end_reason:
            return standin.error_answer(404, 'unknown_stream', run_id)
        now_s = time.monotonic()
        for model_event in self.model.advance(now_s):
            self.apply_event(model_event, now_s)
        if run.end_reason:
            return standin.error_answer(404, 'unknown_stream', run_id)
        offset = self.model.cancel(run_id, now_s)
        self.finish_run(run, 'exported')
        self.wake.set()
        kv_id = self.export_cache(run.prompt_tokens, offset)
        return standin.json_answer(200, {'kv_id': kv_id, 'offset': offset})

    def read_load(self):
        """Return the newest load report that is older than the lag."""
        fault = self.faults.get('lag')
        lag_s = self.spec.report_lag_s
        if fault is not None:
            lag_s = float(fault.get('lag_s', 5.0))
        now_s = time.monotonic()
        chosen = self.reports[0] if self.reports else self.build_report(now_s)
        for report in reversed(self.reports):
            if report.at_s <= now_s - lag_s:
                chosen = report
                break
        age_s = now_s - chosen.at_s
        return standin.json_answer(
            200, {**chosen._asdict(), 'age_s': round(age_s, 3)}
        )

    def event_loss(self):
        """Return the current probability that a cache event is lost."""
        fault = self.faults.get('lose_events')
        if fault is not None:
            return float(fault.get('share', 1.0))
        return self.spec.event_loss

    def cache_events(self, request):
        """Handle ``GET /v1/cache_events``, a long poll."""
        after = int(request.query.get('after', '0'))
        wait_s = float(request.query.get('wait_s', '0'))
        return standin.json_answer(200, self.events.read(after, wait_s))

    def set_fault(self, fault):
        """Handle ``POST /faults``: turn a fault on or off."""
        kind = fault.get('kind', '')
        self.ledger.write('fault', fault=dict(fault))
        match kind:
            case 'clear':
                self.faults.clear()
            case 'crash':
                self.ledger.write(
                    'crash', id='', running=self.active_run_ids()
                )
                standin.crash()
            case 'silent':
                self.silence_count += 1
                for run in self.runs.values():
                    run.notify()
            case 'leaving' | 'left':
                self.state = kind
            case 'back':
                self.state = 'in'
            case (
                'refuse'
                | 'lag'
                | 'lose_events'
                | 'lose_reply'
                | 'crash_in_change'
                | 'fail_change'
            ):
                self.faults.set(kind, fault)
            case _:
                raise ValueError(f'unknown fault kind {kind!r}')
        return standin.json_answer(200, {})


def prefill_id(run_id):
    """Return the run id of a prefill.

    It differs from that of the decode, which may run on the same engine.
    """
    return f'prefill:{run_id}'


def not_run(message):
    """Return the response to a request that was not executed."""
    return standin.error_answer(503, 'not_run', message)


def fetch_cache(kv):
    """Fetch an exported KV cache from the engine that holds it.

    :param kv: object with ``address`` and ``kv_id``
    :returns: None if the engine is unreachable or has no such export
    """
    address, port = standin.split_address(kv['address'])
    connection = http.client.HTTPConnection(
        address, port, timeout=KV_FETCH_TIMEOUT_S
    )
    try:
        connection.request('GET', f'/v1/kv/{kv["kv_id"]}')
        response = connection.getresponse()
        body = response.read()
        return json.loads(body) if response.status == 200 else None
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def main(argv):
    """Serve at ``ADDRESS`` with the settings in ``JSON``.

    :param argv: address, then optionally a JSON object of :class:`Spec`
    :returns: exit status
    """
    spec = standin.read_spec(Spec, argv)
    engine = EngineStandIn(spec)
    engine.start()
    return standin.run(standin.Server(argv[0], engine.handle))
