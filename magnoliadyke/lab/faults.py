"""Faults against real processes, judged from outside.

Usage:
  magnoliadyke lab faults [options]
  magnoliadyke lab faults --kinds

Options:
  --deployment=NAME  dala or zarqa [default: dala].
  --runs=N           How many schedules are drawn [default: 1].
  --seed=S           Seed of the first run [default: 1].
  --schedule=FILE    JSON lines at_s, kind, target, for_s, with; in place of
                     drawn faults.
  --faults=N         Faults of each run; else one, and two in every second.
  --duration=S       Length of the load in seconds [default: 20].
  --load=F           Mean demand as a share of the pool [default: 0.6].
  --at-once=N        Runs side by side [default: 1].
  --keep=DIR         Keep settings, logs and ledgers below this directory.
  --json             Print JSON.
  --kinds            List the kinds of faults.

Eight nodes, the engines (every second ignores fencing numbers), services
and the store run as processes of their own, with all links of the nodes
through the fault proxy.  Exit status 0 only without a violation.
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
#: Long enough for calls to be under way when a fault comes.
SERVICE_WORK_S = 0.15
LONGEST_ANSWER = 300
#: The mix shifts this often, so that roles have a reason to change.
STEP_S = 10.0
ROLE_CHANGE_S = 1.5
DWELL_S = 2.0
FINISH_S = 40.0
#: Every such model call may not be repeated.
ONCE_EVERY = 3


class Plan(typing.NamedTuple):
    """One run.

    :param schedule: :class:`schedules.Fault` in order
    :param directory: where its files go
    """

    deployment: str
    seed: int
    schedule: list
    duration_s: float
    load: float
    directory: str


def document_for(name):
    """Settings of a deployment, made eager to change roles.

    It starts with a split that suits no load; so roles change while the
    faults come.
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
    """What faults may strike."""
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
    """The calls of a run: a mix that shifts, and a service's."""
    deployment = traces.DEPLOYMENTS[plan.deployment]
    shape = traces.Shape(
        'step',
        load=plan.load,
        period_s=STEP_S,
        duration_s=plan.duration_s,
    )
    requests = [
        request._replace(
            repeatable=bool(number % ONCE_EVERY),
            output_tokens=min(request.output_tokens, LONGEST_ANSWER),
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
    """Carry a plan out.

    :returns: the run's figures and its verdict, as JSON would have them
    """
    document = document_for(plan.deployment)
    weights = traces.DEPLOYMENTS[plan.deployment].weights
    options = cluster.Options(
        directory=plan.directory,
        proxied=True,
        engine={'speeds': {'role_change_s': ROLE_CHANGE_S}},
        service={'work_s': SERVICE_WORK_S},
    )
    with cluster.Cluster(document, options) as made:
        begun_s = time.monotonic()
        made.start()
        told = []
        load = evidences.RecordingLoad(
            evidences.recording_clients(made, weights, CLIENTS, told),
            calls_of(plan, made.settings),
            max_retries=MAX_RETRIES,
        )
        watcher = observer.Observer(made)
        editors = observer.Editors(
            made, list(weights)[-1], random.Random(plan.seed)
        )
        faults = injector.Injector(made, editors, load)
        # A fault before the first planner is elected would find no commands.
        made.wait_for('keyvalue', faults.holder)
        watcher.start()
        load.start()
        editors.start()
        tasks = [
            gevent.spawn_later(fault.at_s, faults.inject, fault)
            for fault in plan.schedule
        ]
        load.join(plan.duration_s + FINISH_S)
        gevent.joinall(tasks, timeout=FINISH_S)
        editors.stop()
        watcher.stop()
        made.remove_rule()
        store_calls = evidences.store_call_rates(made, begun_s)
        statuses = made.stop()
        seen = evidences.collect(made, load, told, watcher, editors, faults)
        figures = evidences.figures(
            made, load, watcher, editors, faults, seen, store_calls
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
    """The plans that the command line asks for."""
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
            # Ledgers grow at their end: two runs in one would look doubled.
            raise errors.UsageError(
                f'{directory} holds an earlier run',
                'keep this one in another directory',
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


def carry_out(plan):
    """Run a plan in its directory, or in one that is thrown away."""
    if plan.directory:
        return run(plan)
    with tempfile.TemporaryDirectory() as scratch:
        return run(plan._replace(directory=scratch))


def summary_of(results):
    """All runs in one."""
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
    """How many there are, their median and the 99th percentile."""
    values = sorted(values)
    return {
        'count': len(values),
        'median_s': evidences.quantile(values, 0.5),
        'p99_s': evidences.quantile(values, 0.99),
    }


def worst(results, name):
    """The longest of all runs, None if there was none."""
    values = [value for result in results for value in result[name]]
    return max(values, default=None)


def render(result):
    """One run as lines for people."""
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

    :param argv: words of the command line after ``lab faults``
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
    for result in workers.imap_unordered(carry_out, plans_of(args)):
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
