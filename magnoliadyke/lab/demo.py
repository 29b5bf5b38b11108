"""The Dala deployment on this machine, with every answer checked.

Usage:
  magnoliadyke lab demo [--short] [--json] [--keep=DIR] [--seed=N] [SETTINGS]

Options:
  --short     A run of less than 30 seconds, for CI.
  --json      Print the summary as JSON.
  --keep=DIR  Keep settings, logs and ledgers in this directory.
  --seed=N    Seed of the generated load [default: 1].

SETTINGS is examples/dala.json unless another file is named.

Eight nodes in four failure domains, five engines and four plain services
run as separate processes.  While the token mix shifts, one node is killed
and one cell of the table is edited.  The exit status is 0 only if every
caller received its complete answer, no non-repeatable request ran twice, the
edit came into force, and all nodes stopped gracefully.
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
MAX_RETRIES = 20
KILLED_HOST = 'entry-3'
EDITED_CELL = 'customers/portal/weight'
EDITED_VALUE = 3
ROLE_CHANGE_S = 3.0
FINISH_TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.02
#: No non-repeatable calls are sent from this long before the kill until this
#: long after it.  The outcome of one in flight on the killed host would be
#: unknown, and in this run every caller is to receive an answer.
KILL_GUARD_BEFORE_S = 1.5
KILL_GUARD_AFTER_S = 0.2


class Plan(typing.NamedTuple):
    """Times of the events, in seconds from the start of the load.

    :param duration_s: length of the load
    :param kill_s: when the node is killed
    :param edit_s: when the cell is edited
    :param max_answer_tokens: longest answer that is requested
    """

    duration_s: float
    kill_s: float
    edit_s: float
    max_answer_tokens: int


FULL_PLAN = Plan(36.0, 12.0, 22.0, 300)
SHORT_PLAN = Plan(9.0, 3.0, 5.5, 100)


class Summary(typing.NamedTuple):
    """Results of the run; the names of the fields are its JSON keys.

    :param answered: requests by their last outcome, as are the next three
    :param unfinished: requests without an outcome at the end of the run
    :param told_not_run: outcomes "not run" after which callers retried
    :param told_unknown: outcomes "unknown" after which callers retried; they
        retry only repeatable calls
    :param wrong: answers that were truncated or belong to another request
    :param doubled: non-repeatable requests that ran more than once
    :param edit_in_force_s: from the edit until it was in force on all live
        nodes, None if it was not
    :param stopped_badly: nodes that did not stop gracefully at the end
    :param killed: host whose node was killed
    :param seconds: duration of the run with start and stop
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

    def succeeded(self):
        """Whether the run met all conditions for exit status 0."""
        return (
            self.answered == self.requests
            and not self.wrong
            and not self.doubled
            and not self.stopped_badly
            and self.edit_in_force_s is not None
        )


class Demo:
    """One run of the demo.

    :param deployment: the :class:`cluster.Cluster`
    :param plan: :class:`Plan`
    :param seed: of the generated load
    :param report_progress: called with each line of progress
    """

    def __init__(self, deployment, plan, seed, report_progress):
        self.cluster = deployment
        self.plan = plan
        self.report_progress = report_progress
        self.load = loads.Load(
            loads.make_clients(deployment, CLIENTS),
            make_calls(deployment.settings, plan, seed),
            max_retries=MAX_RETRIES,
        )
        self.in_force_s = None
        self.statuses = {}

    def run(self):
        """Carry out the run.

        :returns: the :class:`Summary`
        """
        started_s = time.monotonic()
        self.report_progress(
            'starting 13 stand-ins and 8 nodes in 4 failure domains'
        )
        self.cluster.start()
        ready_s = time.monotonic() - started_s
        self.report_progress(
            f'all 8 nodes accept requests after {ready_s:.1f} s'
        )
        self.load.start()
        events = [
            gevent.spawn_later(self.plan.kill_s, self.kill),
            gevent.spawn_later(self.plan.edit_s, self.edit),
        ]
        watcher = gevent.spawn(self.report_counts_forever)
        self.load.join(self.plan.duration_s + FINISH_TIMEOUT_S)
        gevent.joinall(events)
        watcher.kill()
        self.report_progress('load ended; stopping all processes gracefully')
        self.statuses = self.cluster.stop()
        self.report_unanswered()
        return self.summary(time.monotonic() - started_s)

    def report_unanswered(self):
        """Report each request without a complete answer of its own."""
        for record in self.load.records:
            if not record.is_correct():
                self.report_progress(
                    f'{record.job.kind} request of {record.job.customer} '
                    f'at {record.job.arrived_s:.1f} s: {record.outcome}'
                )

    def kill(self):
        """Kill one node with SIGKILL."""
        self.cluster.kill(KILLED_HOST)
        self.report_progress(
            f'killed node {KILLED_HOST} with SIGKILL under load'
        )

    def edit(self):
        """Edit one cell and wait until it is in force on every live node."""
        live = [name for name in self.cluster.hosts if name != KILLED_HOST]
        addresses = self.cluster.admin_address(live[-1])
        client = porcelain.admin_client(
            '', addresses, token=cluster.ADMIN_TOKEN
        )
        started_s = time.monotonic()
        porcelain.table_set(
            client, {EDITED_CELL: EDITED_VALUE}, operator='demo'
        )
        waits = [gevent.spawn(self.wait_in_force, name) for name in live]
        gevent.joinall(waits, timeout=FINISH_TIMEOUT_S)
        if not all(wait.successful() for wait in waits):
            self.report_progress(
                f'{EDITED_CELL} is not in force on all live nodes within '
                f'{FINISH_TIMEOUT_S:g} s'
            )
            return
        self.in_force_s = time.monotonic() - started_s
        self.report_progress(
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
            gevent.sleep(POLL_INTERVAL_S)

    def report_counts_forever(self):
        """Report the number of sent and completed requests at intervals."""
        pause_s = max(2.0, self.plan.duration_s / 8)
        while True:
            gevent.sleep(pause_s)
            records = self.load.records
            sent = sum(r.call.at_s <= self.load.now_s() for r in records)
            done = sum(record.outcome is not None for record in records)
            self.report_progress(f'{sent} requests sent, {done} completed')

    def summary(self, seconds):
        """Check all answers and count outcomes.

        :param seconds: duration of the run
        :returns: :class:`Summary`
        """
        records = self.load.records
        kinds = [type(record.outcome) for record in records]
        retried = [
            type(each)
            for record in records
            for each in record.retried_outcomes
        ]
        answered = [r for r in records if r.finished_s is not None]
        return Summary(
            requests=len(records),
            answered=kinds.count(outcomes.Answered),
            not_run=kinds.count(outcomes.NotRun),
            unknown=kinds.count(outcomes.Unknown),
            rejected=kinds.count(outcomes.Rejected),
            unfinished=kinds.count(type(None)),
            told_not_run=retried.count(outcomes.NotRun),
            told_unknown=retried.count(outcomes.Unknown),
            wrong=sum(not record.is_correct() for record in answered),
            doubled=len(runs.find_duplicate_executions(self.cluster, records)),
            goodput_tokens_s=self.goodput(answered),
            role_changes=runs.role_changes(self.cluster),
            edit_in_force_s=self.in_force_s,
            stopped_badly=sum(each != 0 for each in self.statuses.values()),
            killed=KILLED_HOST,
            seconds=round(seconds, 1),
        )

    def goodput(self, answered):
        """Tokens per second of answers within their objectives, by customer.

        :param answered: records that have a complete answer
        """
        length_s = self.plan.duration_s
        return {
            name: round(
                sum(
                    measures.job_tokens(record.job)
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
    """Model calls whose token mix shifts half-way, and service calls."""
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
            output_tokens=min(request.output_tokens, plan.max_answer_tokens),
        )
        for request in traces.generate(dala, shape, seed)
    ]
    pool = next(p for p in settings['pools'] if p['kind'] == 'service')
    services = workload.service_calls(
        'portal', pool, plan.duration_s, SERVICE_CALLS_S
    )
    calls = workload.from_trace(requests) + services
    return [call for call in calls if not is_near_kill(call, plan)]


def is_near_kill(call, plan):
    """Whether a call is left out since the kill could interrupt it."""
    early_s = plan.kill_s - KILL_GUARD_BEFORE_S
    late_s = plan.kill_s + KILL_GUARD_AFTER_S
    return not call.job.repeatable and early_s <= call.at_s <= late_s


def render(summary):
    """Render the summary as text."""
    in_force = summary.edit_in_force_s
    edit = 'never' if in_force is None else f'after {in_force:.2f} s'
    lines = [
        f'requests            {summary.requests}',
        f'answered            {summary.answered}',
        f'not run             {summary.not_run}',
        f'unknown             {summary.unknown}',
        f'rejected            {summary.rejected}',
        f'unfinished          {summary.unfinished}',
        f'not run, retried    {summary.told_not_run}',
        f'unknown, retried    {summary.told_unknown}',
        f'wrong answers       {summary.wrong}',
        f'run more than once  {summary.doubled}',
    ]
    for name, tokens_s in summary.goodput_tokens_s.items():
        lines.append(f'goodput of {name:8} {tokens_s:g} tokens/s')
    lines += [
        f'role changes        {summary.role_changes}',
        f'edit in force       {edit}',
        f'node killed         {summary.killed}',
        f'unclean stops       {summary.stopped_badly}',
        f'duration            {summary.seconds:g} s',
    ]
    if summary.succeeded():
        lines.append('every caller received its complete answer once')
    else:
        lines.append('FAILED: see the lines above')
    return '\n'.join(lines)


def main(argv):
    """Run the demo.

    :param argv: command-line arguments after ``lab demo``
    :returns: exit status
    """
    args = docopt.docopt(__doc__, ['lab', 'demo', *argv])
    path = pathlib.Path(args['SETTINGS'] or EXAMPLE)
    document = arguments.read_json(path)
    seed = arguments.parse_whole_number(args, '--seed')
    plan = SHORT_PLAN if args['--short'] else FULL_PLAN
    report_progress = (
        discard_progress if args['--json'] else progress_printer()
    )
    with tempfile.TemporaryDirectory() as scratch:
        options = cluster.Options(
            directory=args['--keep'] or scratch,
            engine={'speeds': {'role_change_s': ROLE_CHANGE_S}},
        )
        with cluster.Cluster(document, options) as deployment:
            demo = Demo(deployment, plan, seed, report_progress)
            summary = demo.run()
    if args['--json']:
        good = {'good': summary.succeeded()}
        print(json.dumps({**summary._asdict(), **good}, indent=1))
    else:
        print(render(summary))
    return 0 if summary.succeeded() else 1


def discard_progress(_line):
    """Drop a line of progress."""


def progress_printer():
    """Return a function that prints lines to standard error.

    Each line begins with the seconds since this call.
    """
    started_s = time.monotonic()

    def report_progress(line):
        seconds = time.monotonic() - started_s
        print(f'[{seconds:5.1f} s] {line}', file=sys.stderr, flush=True)

    return report_progress
