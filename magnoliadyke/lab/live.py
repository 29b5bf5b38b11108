"""A trace against real node and stand-in processes, in real time.

Usage:
  magnoliadyke lab live [options]

Options:
  --deployment=NAME   dala or zarqa [default: dala].
  --trace=FILE        Requests as CSV, in place of a generated trace; those
                      after 300 s are left out.
  --shape=NAME        steady, swing, step, slow-day, flood-large, flood-small,
                      flash or burst-then-quiet [default: swing].
  --load=F            Mean demand as a share of the pool [default: 0.7].
                      It stretches a trace file too.
  --period=SECONDS    Period of the swing [default: 60].
  --amplitude=F       How far the prefill share moves [default: 0.4].
  --duration=SECONDS  Length of the trace, 300 at most [default: 60].
  --policy=NAMES      fixed and ours, with a comma between [default: ours].
  --seed=N            Which trace is drawn [default: 1].
  --seeds=A-B         Several traces, one after the other.
  --faults=FILE       JSON lines at_s, kind, target, for_s.  Kinds are those
                      of lab policy, and node_loss (kill -9; the node comes
                      back after for_s).
  --hosts=N           How many of the hosts to start; all when 0 [default: 0].
  --keep=DIR          Keep settings, logs and ledgers in this directory.
  --json              Print JSON.

The figures are those of `magnoliadyke lab policy`, taken at the callers.
"""

import io
import json
import pathlib
import sys
import tempfile
import typing

import docopt
import gevent

from magnoliadyke import errors
from magnoliadyke.lab import arguments
from magnoliadyke.lab import cluster
from magnoliadyke.lab import load as loads
from magnoliadyke.lab import measures
from magnoliadyke.lab import policy
from magnoliadyke.lab import runs
from magnoliadyke.lab import traces
from magnoliadyke.lab import trial
from magnoliadyke.lab import workload

__all__ = ['POLICIES', 'Run', 'main', 'read_faults']

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
#: Policies that the nodes have, and their word for each in the table.
POLICIES = {'fixed': 'fixed', 'ours': 'auto'}
NODE_LOSS = 'node_loss'
LONGEST_S = 300.0
DEFAULT_LOAD = 0.7
#: Options of lab policy that make no sense here.
NOT_HERE = {'--processes': '1', '--write-trace': None, '--plot': None}
RUN_OUT_S = 60.0
CLIENTS_PER_HOST = 3
LEAVING_S = 3.0
RESTART_S = trial.fakes.RESTART_S
LAG_S = trial.FAULT_LAG_S


class Run(typing.NamedTuple):
    """What one run needs to know.

    :param deployment: :class:`traces.Deployment`
    :param document: settings of the deployment
    :param requests: the trace
    :param faults: :class:`trial.Fault`
    :param hosts: how many hosts to start; all when 0
    """

    deployment: traces.Deployment
    document: dict
    requests: list
    faults: list
    directory: str
    hosts: int = 0


def run(plan, name):
    """Run a trace under a policy; the figures.

    :param plan: :class:`Run`
    :param name: policy of :data:`POLICIES`
    """
    pools = plan.document['initial_table'].setdefault('pools', {})
    row = pools.setdefault(plan.deployment.pool, {})
    row['planning'] = POLICIES[name]
    options = cluster.Options(directory=plan.directory, hosts=plan.hosts)
    with cluster.Cluster(plan.document, options) as made:
        made.start()
        counts = dict.fromkeys(
            plan.deployment.weights, CLIENTS_PER_HOST * len(made.hosts)
        )
        load = loads.Load(
            loads.make_clients(made, counts),
            workload.from_trace(plan.requests),
        )
        load.start()
        tasks = [
            gevent.spawn_later(fault.at_s, inject, made, fault)
            for fault in plan.faults
        ]
        length_s = plan.requests[-1].at_s
        load.join(length_s + RUN_OUT_S)
        gevent.killall(tasks)
        note_dispatches(made, load)
        changes = runs.role_changes(made)
        usage = {n: made.usage(n) for n in made.hosts if made.alive(n)}
        made.stop()
    figures = measures.figures(
        load.records,
        load.backlog,
        plan.deployment.weights,
        length_s,
        changes,
        plan.deployment.price_tokens,
    )
    figures['wrong'] = sum(
        record.finished_s is not None and not record.whole()
        for record in load.records
    )
    figures['node_cpu_s'] = round(
        sum(each['cpu_s'] for each in usage.values()), 2
    )
    return figures


def note_dispatches(made, load):
    """Note from the ledgers when each request reached an engine."""
    first_s = runs.first_run_times_s(made)
    for record in load.records:
        at_s = first_s.get(record.content())
        if at_s is not None:
            record.dispatched_s = at_s - load.start_wall_s


def inject(made, fault):
    """Cause a fault, and end it after its time."""
    names = [fault.target] if fault.target else engines(made)
    names = [name for name in names if made.alive(name)]
    match fault.kind:
        case 'crash':
            made.kill(fault.target)
            gevent.sleep(fault.for_s or RESTART_S)
            made.restart(fault.target)
        case 'withdrawn':
            withdraw(made, fault)
        case 'report_lag':
            for name in names:
                made.fault(name, kind='lag', lag_s=LAG_S, for_s=fault.for_s)
        case 'no_authority':
            made.fault('keyvalue', kind='outage', for_s=fault.for_s)
        case 'change_fails':
            for name in names:
                made.fault(name, kind='fail_change', for_s=fault.for_s)
        case 'node_loss':
            made.kill(fault.target)
            if fault.for_s is not None:
                gevent.sleep(fault.for_s)
                made.restart(fault.target)


def withdraw(made, fault):
    """Have an engine leave, and come back after the fault's time."""
    made.fault(fault.target, kind='leaving')
    gevent.sleep(LEAVING_S)
    made.fault(fault.target, kind='left')
    if fault.for_s is not None:
        gevent.sleep(max(0.0, fault.for_s - LEAVING_S))
        made.fault(fault.target, kind='back')


def engines(made):
    """Names of the model engines."""
    return [
        endpoint['name']
        for pool in made.settings['pools']
        if pool['kind'] == 'model'
        for endpoint in pool['endpoints']
    ]


def read_faults(file, path, deployment, hosts):
    """Read faults from JSON lines; as ``lab policy``, and node losses.

    :param hosts: names of the hosts
    :raises TraceError: with every bad line and its remedy
    """
    faults = []
    rest = []
    problems = []
    for number, line in enumerate(file, 1):
        fault = node_loss(line)
        rest.append('\n' if fault else line)
        if fault and fault.target in hosts:
            faults.append(fault)
        elif fault:
            problems.append(
                f'line {number}: target {fault.target!r}; use one of '
                f'{", ".join(hosts)}'
            )
    if problems:
        raise traces.TraceError(path, problems)
    text = io.StringIO(''.join(rest))
    return faults + trial.read_faults(text, path, deployment)


def node_loss(line):
    """The fault in a line if it is the loss of a node."""
    try:
        fault = trial.Fault(**json.loads(line))
    except (ValueError, TypeError):
        return None
    return fault if fault.kind == NODE_LOSS else None


def read_requests(options, deployment, seed):
    """The trace to run: from a file, or drawn."""
    if options.trace:
        file = io.StringIO(arguments.read_text(options.trace))
        requests = traces.read(file, options.trace, deployment)
        if options.load is not None:
            requests = traces.scale(requests, options.load, deployment.engines)
        return [each for each in requests if each.at_s <= LONGEST_S]
    shape = traces.Shape(
        options.shape,
        load=options.load or DEFAULT_LOAD,
        period_s=options.period_s,
        amplitude=options.amplitude,
        duration_s=min(options.duration_s, LONGEST_S),
    )
    return traces.generate(deployment, shape, seed)


def check_policies(names):
    """Refuse policies that only ``lab policy`` has."""
    for name in names:
        if name not in POLICIES:
            raise errors.UsageError(
                f'policy {name!r} does not run in nodes',
                f'use one of {", ".join(POLICIES)}, or lab policy',
            )


def main(argv):
    """Run the experiment.

    :param argv: words of the command line after ``lab live``
    :returns: exit status
    """
    args = docopt.docopt(__doc__, ['lab', 'live', *argv])
    options = policy.options_from({**args, **NOT_HERE})
    check_policies(options.policies)
    result = run_all(
        options, args['--keep'], arguments.whole_number(args, '--hosts')
    )
    if options.as_json:
        json.dump(result, sys.stdout, indent=2)
        print()
    else:
        for each in result['runs']:
            for name, figures in each['policies'].items():
                print(render(each['seed'], name, figures))
    return 0


def run_all(options, keep, hosts=0):
    """Run all seeds and policies, one after the other.

    :param options: :class:`policy.Options`
    :param keep: directory to keep, or None
    :param hosts: how many hosts to start; all when 0
    """
    deployment = traces.DEPLOYMENTS[options.deployment]
    path = EXAMPLES / f'{options.deployment}.json'
    document = arguments.read_json(path)
    faults = open_faults(options.faults, deployment, document)
    found = []
    for seed in options.seeds:
        requests = read_requests(options, deployment, seed)
        figures = {}
        for name in options.policies:
            with tempfile.TemporaryDirectory() as scratch:
                # Ledgers are appended to: each run needs its own.
                directory = f'{keep or scratch}/{seed}-{name}'
                plan = Run(
                    deployment, document, requests, faults, directory, hosts
                )
                figures[name] = run(plan, name)
        found.append({'seed': seed, 'policies': figures})
    return {
        'deployment': options.deployment,
        'trace': options.trace or options.shape,
        'period_s': options.period_s,
        'load': options.load,
        'runs': found,
    }


def open_faults(path, deployment, document):
    """Faults of the file, if one is named."""
    if not path:
        return []
    hosts = [host['name'] for host in document['hosts']]
    file = io.StringIO(arguments.read_text(path))
    return read_faults(file, path, deployment, hosts)


def render(seed, name, figures):
    """One run's figures as a line for people."""
    return (
        f'seed {seed} {name}: '
        f'goodput {figures["goodput_tokens_s"]:.0f} tokens/s, '
        f'met {figures["met_share"]:.3f}, '
        f'{figures["role_changes"]} role changes, '
        f'{figures["not_run"]} not run, {figures["unknown"]} unknown, '
        f'fairness {figures["fairness"]:.2f}'
    )
