"""Runs a cluster of real processes under faults, and checks the outcome.

Usage:
  magnoliadyke lab faults [options]
  magnoliadyke lab faults --kinds

Options:
  --deployment=NAME  dala or zarqa [default: dala].
  --runs=N           Number of runs, each with a seed of its own [default: 1].
  --seed=S           Seed of the first run [default: 1].
  --schedule=FILE    Faults, one JSON object a line, with at_s, kind, target,
                     for_s and with; in place of random faults.
  --faults=N         Random faults of each run; if left out, one and two in
                     turn.
  --duration=S       Duration of the load in seconds [default: 20].
  --load=F           Mean demand as a share of the pool's capacity
                     [default: 0.6].
  --at-once=N        Number of concurrent runs [default: 1].
  --keep=DIR         Keep settings, logs and ledgers below this directory.
  --json             Print JSON.
  --kinds            List the kinds of faults.

Eight nodes, the engines (every second one does not check fencing tokens),
services and the store run as processes of their own; all links of the nodes
go through the fault proxy.  The exit status is 0 only if there is no
violation.
"""

import json
import pathlib
import random
import sys
import tempfile
import time
import typing

import docopt
import gevent
from gevent import pool as pools

from magnoliadyke import errors
from magnoliadyke.lab import checker
from magnoliadyke.lab import cluster
from magnoliadyke.lab import evidence as evidences
from magnoliadyke.lab import injector
from magnoliadyke.lab import observer
from magnoliadyke.lab import schedules
from magnoliadyke.lab import traces
from magnoliadyke.lab import workload

__all__ = ['Plan', 'main', 'run']

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
CLIENTS = 8
MAX_RETRIES = 20
SERVICE_CALLS_S = 20.0
#: Execution time of service calls: so long that calls are in flight when a
#: fault begins.
SERVICE_WORK_S = 0.15
MAX_OUTPUT_TOKENS = 300
#: Period of the token mix, whose shifts cause role changes.
MIX_STEP_S = 10.0
ROLE_CHANGE_S = 1.5
DWELL_S = 2.0
FINISH_TIMEOUT_S = 40.0
#: One of this many model calls is not repeatable.
UNREPEATABLE_EVERY = 3


class Plan(typing.NamedTuple):
    """One run.

    :param schedule: :class:`schedules.Fault` in order
    :param load: mean demand as a share of the pool's capacity
    :param directory: for the files of the run; empty for a temporary one
    """

    deployment: str
    seed: int
    schedule: list
    duration_s: float
    load: float
    directory: str


def document_for(name):
    """Settings of a deployment, changed so that roles change often.

    All engines but one begin in the prefill role, which suits no load: so
    roles change while faults are injected.  Role changes have no price, and
    every second engine does not check fencing tokens.

    :param name: of the deployment
    """
    document = json.loads((EXAMPLES / f'{name}.json').read_text())
    rows = document['initial_table'].setdefault('pools', {})
    for pool in document['pools']:
        if pool['kind'] != 'model':
            continue
        row = rows.setdefault(pool['name'], {})
        row.update(role_change_price=0, dwell_s=DWELL_S)
        last = len(pool['endpoints']) - 1
        for number, endpoint in enumerate(pool['endpoints']):
            endpoint['checks_fencing'] = number % 2 == 0
            endpoint['role'] = 'decode' if number == last else 'prefill'
    return document


def targets_of(document):
    """Names of the hosts, endpoints and domains that faults may target."""
    by_kind = {'model': [], 'service': []}
    for pool in document['pools']:
        by_kind[pool['kind']] += [e['name'] for e in pool['endpoints']]
    return schedules.Targets(
        tuple(host['name'] for host in document['hosts']),
        tuple(by_kind['model']),
        tuple(by_kind['model'] + by_kind['service']),
        tuple(document['failure_domains']),
    )


def calls_of(plan, document):
    """The calls of a run: model calls of a shifting mix, and service calls."""
    deployment = traces.DEPLOYMENTS[plan.deployment]
    shape = traces.Shape(
        'step',
        load=plan.load,
        period_s=MIX_STEP_S,
        duration_s=plan.duration_s,
    )
    requests = [
        request._replace(
            repeatable=bool(number % UNREPEATABLE_EVERY),
            output_tokens=min(request.output_tokens, MAX_OUTPUT_TOKENS),
        )
        for number, request in enumerate(
            traces.generate(deployment, shape, plan.seed)
        )
    ]
    service = next(p for p in document['pools'] if p['kind'] == 'service')
    small = list(deployment.weights)[-1]
    return workload.from_trace(requests) + workload.service_calls(
        small, service, plan.duration_s, SERVICE_CALLS_S
    )


def run(plan):
    """Execute a plan.

    :returns: the run's figures and violations, ready for JSON
    """
    document = document_for(plan.deployment)
    weights = traces.DEPLOYMENTS[plan.deployment].weights
    options = cluster.Options(
        directory=plan.directory,
        proxied=True,
        engine={'speeds': {'role_change_s': ROLE_CHANGE_S}},
        service={'work_s': SERVICE_WORK_S},
    )
    with cluster.Cluster(document, options) as deployment:
        begun_s = time.monotonic()
        deployment.start()
        told = []
        load = evidences.RecordingLoad(
            evidences.recording_clients(deployment, weights, CLIENTS, told),
            calls_of(plan, deployment.settings),
            max_retries=MAX_RETRIES,
        )
        watcher = observer.Observer(deployment)
        editors = observer.Editors(
            deployment, list(weights)[-1], random.Random(plan.seed)
        )
        faults = injector.Injector(deployment, editors, load)
        # Before a host holds the lease on the planner's duty, there are no
        # commands to engines that a fault could affect.
        deployment.wait_for('keyvalue', faults.holder)
        watcher.start()
        load.start()
        editors.start()
        tasks = [
            gevent.spawn_later(fault.at_s, faults.inject, fault)
            for fault in plan.schedule
        ]
        load.join(plan.duration_s + FINISH_TIMEOUT_S)
        gevent.joinall(tasks, timeout=FINISH_TIMEOUT_S)
        editors.stop()
        watcher.stop()
        deployment.remove_rule()
        store_calls = evidences.store_call_rates(deployment, begun_s)
        statuses = deployment.stop()
        seen = evidences.collect(
            deployment, load, told, watcher, editors, faults
        )
        figures = evidences.figures(
            deployment, load, watcher, editors, faults, seen, store_calls
        )
    verdict = checker.check(seen)
    return {
        'seed': plan.seed,
        'schedule': [fault._asdict() for fault in plan.schedule],
        **figures,
        'unclean_stops': {n: s for n, s in statuses.items() if s},
        'violations': [v._asdict() for v in verdict.violations],
        'windows': [v._asdict() for v in verdict.unpreventable],
    }


def plans_of(args):
    """Return the plans of the runs that the arguments request.

    :raises UsageError: the directory of a run exists already
    """
    name = args['--deployment']
    targets = targets_of(document_for(name))
    plans = []
    for number in range(int(args['--runs'])):
        seed = int(args['--seed']) + number
        rng = random.Random(seed)
        if args['--schedule']:
            path = args['--schedule']
            with open(path) as lines:
                schedule = schedules.read(lines, path, targets, rng)
        else:
            count = int(args['--faults'] or 1 + number % 2)
            schedule = schedules.draw(targets, rng, count, seed)
        keep = args['--keep']
        directory = f'{keep}/{name}-{seed}' if keep else ''
        if keep and pathlib.Path(directory).exists():
            # Ledgers are appended to: the executions of two runs in one
            # ledger would look like duplicates.
            raise errors.UsageError(
                f'{directory} holds an earlier run',
                'name another directory with --keep',
            )
        plans.append(
            Plan(
                name,
                seed,
                schedule,
                float(args['--duration']),
                float(args['--load']),
                directory,
            )
        )
    return plans


def run_in_directory(plan):
    """Run a plan in its directory, or in a temporary one."""
    if plan.directory:
        return run(plan)
    with tempfile.TemporaryDirectory() as scratch:
        return run(plan._replace(directory=scratch))


def summary_of(results):
    """Summary of all runs."""
    counts = dict.fromkeys(checker.PROMISES, 0)
    for result in results:
        for violation in result['violations']:
            counts[violation['promise']] += 1
    once = sum(result['once']['sent'] for result in results)
    unknown = sum(result['once']['unknown'] for result in results)
    in_force = {}
    for result in results:
        for what, took in result['in_force_s'].items():
            in_force.setdefault(what, []).extend(took)
    return {
        'runs': len(results),
        'violations': counts,
        'windows': sum(len(result['windows']) for result in results),
        'unknown_share': round(unknown / once, 4) if once else 0.0,
        'in_force': {w: spread(took) for w, took in in_force.items()},
        'dead_listed_s': worst(results, 'dead_listed_s'),
        'last_work_s': worst(results, 'last_work_s'),
        'takeover_s': worst(results, 'takeover_s'),
    }


def spread(values):
    """Count, median and 99th percentile of values in seconds."""
    values = sorted(values)
    return {
        'count': len(values),
        'median_s': evidences.quantile(values, 0.5),
        'p99_s': evidences.quantile(values, 0.99),
    }


def worst(results, name):
    """Largest value of a figure in all runs, None if no run has one."""
    values = [value for result in results for value in result[name]]
    return max(values, default=None)


def render(result):
    """One run as text."""
    faults = '; '.join(
        f'{row["kind"]} {row["target"]} at {row["at_s"]:.1f} s'
        for row in result['schedule']
    )
    lines = [
        f'seed {result["seed"]}: {faults or "no fault"}',
        f'  {result["calls"]}, {result["role_changes"]} role changes',
    ]
    for kind in ('violations', 'windows'):
        for row in result[kind]:
            lines.append(f'  {kind}: {row["promise"]}: {row["what"]}')
    return '\n'.join(lines)


def main(argv):
    """Run the experiment.

    :param argv: arguments after ``lab faults``
    :returns: exit status
    """
    args = docopt.docopt(__doc__, ['lab', 'faults', *argv])
    if args['--kinds']:
        for name, kind in schedules.KINDS.items():
            print(f'{name:20} {kind.target:16} {kind.effect}')
        return 0
    results = []
    begun_s = time.monotonic()
    workers = pools.Pool(int(args['--at-once']))
    for result in workers.imap_unordered(run_in_directory, plans_of(args)):
        results.append(result)
        if not args['--json']:
            print(render(result), flush=True)
    results.sort(key=lambda result: result['seed'])
    summary = summary_of(results)
    summary['took_s'] = round(time.monotonic() - begun_s, 1)
    if args['--json']:
        json.dump({'summary': summary, 'runs': results}, sys.stdout, indent=1)
        print()
    else:
        print(json.dumps(summary, indent=1))
    return 1 if any(summary['violations'].values()) else 0
