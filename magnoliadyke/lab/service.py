"""Stand-in for a plain service: echoes calls and records them."""

import typing

import gevent

from magnoliadyke.lab import standin

__all__ = ['ServiceStandIn', 'Spec', 'main']


class Spec(typing.NamedTuple):
    """Settings of the stand-in.

    :param work_s: duration of a call
    :param ledger: path of the ledger file; in memory only if empty
    """

    name: str = 'service'
    work_s: float = 0.005
    ledger: str = ''


class ServiceStandIn:
    """A service that accepts any path and records each call.

    Faults, by ``POST /faults {"kind", ...}``: ``refuse`` (``for_s``),
    ``slow`` (``for_s``, ``delay_s``), ``lose_reply`` (``count``: calls that
    are executed but get no response), ``crash``, ``leaving``, ``left``,
    ``back``, ``clear``.
    """

    def __init__(self, spec):
        self.spec = spec
        self.faults = standin.Faults()
        self.ledger = standin.Ledger(spec.ledger)
        self.state = 'in'

    def handle(self, request):
        """Route one request to its handler."""
        match (request.method, request.path):
            case ('GET', '/health'):
                return standin.json_answer(200, {'state': self.state})
            case ('GET', '/ledger'):
                rows = list(self.ledger.rows)
                return standin.json_answer(200, {'rows': rows})
            case ('POST', '/faults'):
                return self.set_fault(request.json())
        return self.call(request)

    def call(self, request):
        """Execute one call and echo it.

        :raises standin.DropConnection: the fault ``lose_reply`` is on
        """
        if self.state == 'left' or self.faults.get('refuse') is not None:
            return standin.error_answer(
                503, 'not_run', 'the service does not accept calls'
            )
        request_id = request.header('X-Request-Id')
        self.ledger.write(
            'run',
            id=request_id,
            key=request.header('X-Request-Key'),
            sender=request.header('X-Sender'),
            method=request.method,
            path=request.path,
            content=standin.content_digest(
                request.method,
                request.path,
                request.body.decode('utf-8', 'replace'),
            ),
            state=self.state,
        )
        slow = self.faults.get('slow')
        delay_s = 0.0 if slow is None else float(slow.get('delay_s', 1.0))
        gevent.sleep(self.spec.work_s + delay_s)
        self.ledger.write('end', id=request_id, end='finished')
        if self.faults.consume('lose_reply') is not None:
            raise standin.DropConnection
        return standin.json_answer(
            200,
            {
                'service': self.spec.name,
                'method': request.method,
                'path': request.path,
                'id': request_id,
                'body': request.body.decode('utf-8', 'replace'),
            },
        )

    def set_fault(self, fault):
        """Handle ``POST /faults``: turn a fault on or off."""
        kind = fault.get('kind', '')
        self.ledger.write('fault', fault=dict(fault))
        match kind:
            case 'clear':
                self.faults.clear()
            case 'crash':
                standin.crash()
            case 'leaving' | 'left':
                self.state = kind
            case 'back':
                self.state = 'in'
            case 'refuse' | 'slow' | 'lose_reply':
                self.faults.set(kind, fault)
            case _:
                raise ValueError(f'unknown fault kind {kind!r}')
        return standin.json_answer(200, {})


def main(argv):
    """Serve at ``ADDRESS`` with the settings in ``JSON``.

    :param argv: address, then optionally a JSON object of :class:`Spec`
    :returns: exit status
    """
    spec = standin.read_spec(Spec, argv)
    service = ServiceStandIn(spec)
    return standin.run(standin.Server(argv[0], service.handle))
