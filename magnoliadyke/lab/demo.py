"""The Dala deployment, small and whole, with every answer checked.

Usage:
  magnoliadyke lab demo [--short] [--json] [--keep=DIR] [--seed=N] [SETTINGS]

Options:
  --short     Under 30 seconds, for CI.
  --json      Print the summary as JSON.
  --keep=DIR  Keep settings, logs and ledgers in this directory.
  --seed=N    Which load is drawn [default: 1].

SETTINGS is examples/dala.json unless another file is named.

Eight nodes in four failure domains, five engines and four plain services
run as processes of their own.  While the token mix shifts, one node is
killed and one cell of the table is edited.  Exit status 0 only if every
caller got its whole answer, and nothing that may not be repeated ran twice.
"""

import http.client
import json
import pathlib
import sys
import tempfile
import time
import typing

import docopt
import gevent

from magnoliadyke.core import outcomes
from magnoliadyke.lab import arguments
from magnoliadyke.lab import cluster
from magnoliadyke.lab import load as loads
from magnoliadyke.lab import measures
from magnoliadyke.lab import runs
from magnoliadyke.lab import traces
from magnoliadyke.lab import workload
from magnoliadyke import porcelain

__all__ = ['Plan', 'Summary', 'main']

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'dala.json'
CUSTOMERS = ('lease', 'portal')
CLIENTS = {'lease': 16, 'portal': 8}
LOAD = 0.5
SERVICE_CALLS_S = 8.0
VISITS = 20
VICTIM = 'entry-3'
EDITED_CELL = 'customers/portal/weight'
EDITED_VALUE = 3
ROLE_CHANGE_S = 3.0
FINISH_S = 25.0
POLL_S = 0.02
#: Non-repeatable calls pause so long before the kill and after it: the
#: outcome of one that is under way on a killed host is honestly unknown,
#: and this run is to end with every caller answered.
QUIET_BEFORE_S = 1.5
QUIET_AFTER_S = 0.2


class Plan(typing.NamedTuple):
    """When things happen, in seconds from the start of the load.

    :param longest_answer: in tokens
    """

    duration_s: float
    kill_s: float
    edit_s: float
    longest_answer: int


LONG = Plan(36.0, 12.0, 22.0, 300)
SHORT = Plan(9.0, 3.0, 5.5, 100)


class Summary(typing.NamedTuple):
    """What came of the run.

    :param told_not_run: how often a caller was told so and came back
    :param told_unknown: as before; only calls that may be repeated come back
    :param wrong: answers that were cut, crossed or not of the caller
    :param doubled: non-repeatable requests that ran more than once
    :param stopped_badly: nodes that did not stop gracefully at the end
    """

    requests: int
    answered: int
    not_run: int
    unknown: int
    rejected: int
    unfinished: int
    told_not_run: int
    told_unknown: int
    wrong: int
    doubled: int
    goodput_tokens_s: dict[str, float]
    role_changes: int
    edit_in_force_s: float | None
    stopped_badly: int
    killed: str
    seconds: float

    def good(self):
        """Whether every caller got its whole answer, once."""
        return (
            self.answered == self.requests
            and not self.wrong
            and not self.doubled
            and not self.stopped_badly
            and self.edit_in_force_s is not None
        )


class Demo:
    """One run.

    :param plan: :class:`Plan`
    :param say: called with each line of progress
    """

    def __init__(self, deployment, plan, seed, say):
        self.cluster = deployment
        self.plan = plan
        self.say = say
        self.load = loads.Load(
            loads.make_clients(deployment, CLIENTS),
            make_calls(deployment.settings, plan, seed),
            visits=VISITS,
        )
        self.in_force_s = None
        self.statuses = {}

    def run(self):
        """Run it; the :class:`Summary`."""
        begun_s = time.monotonic()
        self.say('starting 13 stand-ins and 8 nodes in 4 failure domains')
        self.cluster.start()
        ready_s = time.monotonic() - begun_s
        self.say(f'all 8 nodes take work after {ready_s:.1f} s')
        self.load.start()
        events = [
            gevent.spawn_later(self.plan.kill_s, self.kill),
            gevent.spawn_later(self.plan.edit_s, self.edit),
        ]
        watcher = gevent.spawn(self.report_forever)
        self.load.join(self.plan.duration_s + FINISH_S)
        gevent.joinall(events)
        watcher.kill()
        self.say('load is over; stopping all processes gracefully')
        self.statuses = self.cluster.stop()
        self.say_unanswered()
        return self.summary(time.monotonic() - begun_s)

    def say_unanswered(self):
        """Name each request without a whole answer."""
        for record in self.load.records:
            if not record.whole():
                self.say(
                    f'{record.job.kind} request of {record.job.customer} '
                    f'at {record.job.arrived_s:.1f} s: {record.outcome}'
                )

    def kill(self):
        """Kill one node outright."""
        self.cluster.kill(VICTIM)
        self.say(f'killed {VICTIM} with SIGKILL, under load')

    def edit(self):
        """Edit one cell and wait until every live node has it in force."""
        live = [name for name in self.cluster.hosts if name != VICTIM]
        addresses = self.cluster.admin_address(live[-1])
        client = porcelain.admin_client(
            '', addresses, token=cluster.ADMIN_TOKEN
        )
        begun_s = time.monotonic()
        porcelain.table_set(
            client, {EDITED_CELL: EDITED_VALUE}, operator='demo'
        )
        waits = [gevent.spawn(self.wait_in_force, name) for name in live]
        gevent.joinall(waits, timeout=FINISH_S)
        if not all(wait.successful() for wait in waits):
            self.say(f'{EDITED_CELL} is not in force everywhere')
            return
        self.in_force_s = time.monotonic() - begun_s
        self.say(
            f'{EDITED_CELL} = {EDITED_VALUE} is in force on '
            f'{len(live)} nodes after {self.in_force_s:.2f} s'
        )

    def wait_in_force(self, host):
        """Wait until a host's own table shows the edit."""
        sheet, row, column = EDITED_CELL.split('/')
        while True:
            try:
                status, body = self.cluster.admin(
                    host, 'GET', f'/admin/table?sheet={sheet}'
                )
            except (OSError, http.client.HTTPException):
                status = 0
            if status == 200:
                cells = body['sheets'][sheet]['rows'][row]
                if cells.get(column) == EDITED_VALUE:
                    return
            gevent.sleep(POLL_S)

    def report_forever(self):
        """Say how far the load is, now and then."""
        pause_s = max(2.0, self.plan.duration_s / 8)
        while True:
            gevent.sleep(pause_s)
            records = self.load.records
            sent = sum(r.call.at_s <= self.load.now_s() for r in records)
            done = sum(record.outcome is not None for record in records)
            self.say(f'{sent} requests sent, {done} ended')

    def summary(self, seconds):
        """Judge all answers and count."""
        records = self.load.records
        kinds = [type(record.outcome) for record in records]
        told = [type(each) for record in records for each in record.told]
        answered = [r for r in records if r.finished_s is not None]
        return Summary(
            requests=len(records),
            answered=kinds.count(outcomes.Answered),
            not_run=kinds.count(outcomes.NotRun),
            unknown=kinds.count(outcomes.Unknown),
            rejected=kinds.count(outcomes.Rejected),
            unfinished=kinds.count(type(None)),
            told_not_run=told.count(outcomes.NotRun),
            told_unknown=told.count(outcomes.Unknown),
            wrong=sum(not record.whole() for record in answered),
            doubled=len(runs.doubled(self.cluster, records)),
            goodput_tokens_s=self.goodput(answered),
            role_changes=runs.role_changes(self.cluster),
            edit_in_force_s=self.in_force_s,
            stopped_badly=sum(each != 0 for each in self.statuses.values()),
            killed=VICTIM,
            seconds=round(seconds, 1),
        )

    def goodput(self, answered):
        """Tokens a second of answers in time, by customer."""
        length_s = self.plan.duration_s
        return {
            name: round(
                sum(
                    measures.tokens(record.job)
                    for record in answered
                    if record.job.kind == 'model'
                    and record.job.customer == name
                    and record.met_objectives()
                )
                / length_s,
                1,
            )
            for name in CUSTOMERS
        }


def make_calls(settings, plan, seed):
    """The calls of the run: a mix that shifts half-way, and a service's."""
    dala = traces.DEPLOYMENTS['dala']
    shape = traces.Shape(
        'step',
        load=LOAD,
        period_s=plan.duration_s,
        duration_s=plan.duration_s,
    )
    requests = [
        request._replace(
            repeatable=True,
            output_tokens=min(request.output_tokens, plan.longest_answer),
        )
        for request in traces.generate(dala, shape, seed)
    ]
    pool = next(p for p in settings['pools'] if p['kind'] == 'service')
    services = workload.service_calls(
        'portal', pool, plan.duration_s, SERVICE_CALLS_S
    )
    calls = workload.from_trace(requests) + services
    return [call for call in calls if not in_quiet(call, plan)]


def in_quiet(call, plan):
    """Whether a call must not be under way while a node is killed."""
    early_s = plan.kill_s - QUIET_BEFORE_S
    late_s = plan.kill_s + QUIET_AFTER_S
    return not call.job.repeatable and early_s <= call.at_s <= late_s


def render(summary):
    """The summary as lines for people."""
    in_force = summary.edit_in_force_s
    edit = 'never' if in_force is None else f'after {in_force:.2f} s'
    lines = [
        f'requests            {summary.requests}',
        f'answered            {summary.answered}',
        f'not run             {summary.not_run}',
        f'unknown             {summary.unknown}',
        f'rejected            {summary.rejected}',
        f'without an end      {summary.unfinished}',
        f'told "not run"      {summary.told_not_run}, and came back',
        f'told "unknown"      {summary.told_unknown}, and came back',
        f'cut or crossed      {summary.wrong}',
        f'ran twice           {summary.doubled}',
    ]
    for name, tokens_s in summary.goodput_tokens_s.items():
        lines.append(f'goodput of {name:8} {tokens_s:g} tokens/s')
    lines += [
        f'role changes        {summary.role_changes}',
        f'edit in force       {edit}',
        f'node killed         {summary.killed}',
        f'stopped badly       {summary.stopped_badly}',
        f'took                {summary.seconds:g} s',
    ]
    if summary.good():
        lines.append('every caller got its whole answer, once')
    else:
        lines.append('FAILED: see the lines above')
    return '\n'.join(lines)


def main(argv):
    """Run the demo.

    :param argv: words of the command line after ``lab demo``
    :returns: exit status
    """
    args = docopt.docopt(__doc__, ['lab', 'demo', *argv])
    path = pathlib.Path(args['SETTINGS'] or EXAMPLE)
    document = arguments.read_json(path)
    seed = arguments.whole_number(args, '--seed')
    plan = SHORT if args['--short'] else LONG
    say = quiet if args['--json'] else progress()
    with tempfile.TemporaryDirectory() as scratch:
        options = cluster.Options(
            directory=args['--keep'] or scratch,
            engine={'speeds': {'role_change_s': ROLE_CHANGE_S}},
        )
        with cluster.Cluster(document, options) as deployment:
            demo = Demo(deployment, plan, seed, say)
            summary = demo.run()
    if args['--json']:
        good = {'good': summary.good()}
        print(json.dumps({**summary._asdict(), **good}, indent=1))
    else:
        print(render(summary))
    return 0 if summary.good() else 1


def quiet(_line):
    """Say nothing."""


def progress():
    """A function that prints lines with the seconds since now."""
    begun_s = time.monotonic()

    def say(line):
        seconds = time.monotonic() - begun_s
        print(f'[{seconds:5.1f} s] {line}', file=sys.stderr, flush=True)

    return say
