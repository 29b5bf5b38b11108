"""Stand-in for the platform's own API, over HTTP on loopback."""

import json
import time
from typing import Any
from typing import NamedTuple

import gevent

from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import http
from magnoliadyke.lab import httpstandin

__all__ = ['Call', 'PlatformCloudStandIn']

#: In the mode 'silent' the connection is closed after this time, in seconds.
SILENT_S = 30.0
JSON_HEADERS = [(b'Content-Type', b'application/json')]


class Call(NamedTuple):
    """A request that was executed.

    :param at_s: monotonic seconds of the execution
    :param holder: host that sent the request, as its header says
    :param fencing: fencing token of the request, 0 if it had none
    :param subject: what the lease of the holder covers: 'usage', or the
        service and failure domain that are scaled.  Fencing tokens of one
        subject may not fall.
    """

    at_s: float
    path: str
    holder: str
    fencing: int
    body: dict[str, Any]
    subject: str


class PlatformCloudStandIn(httpstandin.HttpStandIn):
    """Accepts usage reports and scale orders, with faults to be switched on.

    :ivar mode: how requests are served: 'up', 'busy' (503), 'limited' (429),
        'reset' (the connection is closed) or 'silent' (no answer)
    :ivar lose_answers: requests are executed, and the connection is closed in
        place of an answer
    :ivar delay_s: added to the time of each request, in seconds
    :ivar scarce: failure domains without capacity for reclaimable endpoints
    :ivar calls: requests that were executed, in order
    """

    def __init__(self, address: str = '127.0.0.1:0') -> None:
        super().__init__(address)
        self.mode = 'up'
        self.lose_answers = False
        self.delay_s = 0.0
        self.scarce: set[str] = set()
        self.calls: list[Call] = []

    def reports(self) -> dict[int, list[dict[str, int]]]:
        """The distinct counts that were reported, by id of their window."""
        found: dict[int, list[dict[str, int]]] = {}
        for call in self.calls:
            if call.path == '/usage':
                counts = found.setdefault(call.body['window_id'], [])
                if call.body['counts'] not in counts:
                    counts.append(call.body['counts'])
        return found

    def breaches(self) -> list[str]:
        """Violations of the rule of one holder at a time, as texts.

        These are a window that was reported with different counts, a fencing
        token lower than an earlier one, and a token used by two holders.
        """
        found = [
            f'window {window} reported with {len(counts)} counts'
            for window, counts in self.reports().items()
            if len(counts) > 1
        ]
        latest: dict[str, tuple[int, str]] = {}
        for call in self.calls:
            fencing, holder = latest.get(call.subject, (0, call.holder))
            if call.fencing < fencing:
                found.append(f'{call.subject}: fencing token decreased')
            if call.fencing == fencing and call.holder != holder:
                found.append(f'{call.subject}: two holders used one token')
            latest[call.subject] = (call.fencing, call.holder)
        return found

    def _serve_one(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> bool:
        head, data = httpstandin.read_request(reader)
        if self.delay_s:
            gevent.sleep(self.delay_s)
        match self.mode:
            case 'reset':
                return False
            case 'silent':
                gevent.sleep(SILENT_S)
                return False
            case 'busy' | 'limited':
                status = 503 if self.mode == 'busy' else 429
                caller.answer(status, JSON_HEADERS, b'{}')
                return True
        body = json.loads(data or b'{}')
        status = self._carry_out(head, body)
        if self.lose_answers:
            return False
        caller.answer(status, JSON_HEADERS, b'{}')
        return True

    def _carry_out(self, head: http.Head, body: dict[str, Any]) -> int:
        path = head.target.decode()
        subject = 'usage'
        if path == '/scale':
            subject = f'{body["service"]}/{body["zone"]}'
            if body.get('spot') and body['zone'] in self.scarce:
                return 409
        self.calls.append(
            Call(
                time.monotonic(),
                path,
                (head.value(b'x-duty-holder') or b'').decode(),
                int(head.value(b'x-fence-token') or 0),
                body,
                subject,
            )
        )
        return 200
