"""Runs a trace against real node and stand-in processes in real time.

Usage:
  magnoliadyke lab live [options]

Options:
  --deployment=NAME   dala or zarqa [default: dala].
  --trace=FILE        CSV file of requests, in place of a generated trace;
                      requests after 300 s are left out.
  --shape=NAME        steady, swing, step, slow-day, flood-large, flood-small,
                      flash or burst-then-quiet [default: swing].
  --load=F            Mean demand as a share of the pool's capacity
                      [default: 0.7].  A trace file is stretched to it too.
  --period=SECONDS    Period of the shape [default: 60].
  --amplitude=F       Amplitude of the prefill share [default: 0.4].
  --duration=SECONDS  Length of the trace, 300 at most [default: 60].
  --policy=NAMES      fixed, ours, or both separated by a comma
                      [default: ours].
  --seed=N            Seed of the generated trace [default: 1].
  --seeds=A-B         Run the traces of several seeds in sequence.
  --faults=FILE       JSON lines with at_s, kind, target, for_s.  Kinds are
                      those of lab policy, and node_loss (kill -9; the node
                      is restarted after for_s).
  --hosts=N           Number of hosts to start; 0 for all [default: 0].
  --keep=DIR          Keep settings, logs and ledgers in this directory.
  --json              Print JSON.

The figures are those of `magnoliadyke lab policy`, measured at the callers.
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

__all__ = ['POLICIES', 'RunPlan', 'main', 'read_faults']

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
#: Policies that the nodes implement, and the value of each in the table.
POLICIES = {'fixed': 'fixed', 'ours': 'auto'}
NODE_LOSS = 'node_loss'
MAX_TRACE_S = 300.0
DEFAULT_LOAD = 0.7
#: Options of lab policy that this command does not have.
UNSUPPORTED_OPTIONS = {
    '--processes': '1',
    '--write-trace': None,
    '--plot': None,
}
COMPLETION_TIMEOUT_S = 60.0
CLIENTS_PER_HOST = 3
LEAVING_NOTICE_S = 3.0
RESTART_DELAY_S = trial.fakes.RESTART_S
REPORT_LAG_S = trial.FAULT_LAG_S


class RunPlan(typing.NamedTuple):
    """Parameters of one run.

    :param deployment: :class:`traces.Deployment`
    :param document: settings of the deployment
    :param requests: the trace
    :param faults: list of :class:`trial.Fault`
    :param directory: where settings, logs and ledgers go
    :param hosts: number of hosts to start; 0 for all
    """

    deployment: traces.Deployment
    document: dict
    requests: list
    faults: list
    directory: str
    hosts: int = 0


def run(plan, name):
    """Run a trace under a policy.

    :param plan: :class:`RunPlan`
    :param name: policy of :data:`POLICIES`
    :returns: the figures of the run, as in its JSON result
    """
    pools = plan.document['initial_table'].setdefault('pools', {})
    row = pools.setdefault(plan.deployment.pool, {})
    row['planning'] = POLICIES[name]
    options = cluster.Options(directory=plan.directory, hosts=plan.hosts)
    with cluster.Cluster(plan.document, options) as running:
        running.start()
        counts = dict.fromkeys(
            plan.deployment.weights, CLIENTS_PER_HOST * len(running.hosts)
        )
        load = loads.Load(
            loads.make_clients(running, counts),
            workload.from_trace(plan.requests),
        )
        load.start()
        tasks = [
            gevent.spawn_later(fault.at_s, inject, running, fault)
            for fault in plan.faults
        ]
        length_s = plan.requests[-1].at_s
        load.join(length_s + COMPLETION_TIMEOUT_S)
        gevent.killall(tasks)
        record_dispatch_times(running, load)
        changes = runs.role_changes(running)
        usage = {
            n: running.process_usage(n)
            for n in running.hosts
            if running.is_alive(n)
        }
        running.stop()
    figures = measures.figures(
        load.records,
        load.backlog,
        plan.deployment.weights,
        length_s,
        changes,
        plan.deployment.price_tokens,
    )
    figures['wrong'] = sum(
        record.finished_s is not None and not record.is_correct()
        for record in load.records
    )
    figures['node_cpu_s'] = round(
        sum(each['cpu_s'] for each in usage.values()), 2
    )
    return figures


def record_dispatch_times(running, load):
    """Set in each record when an engine started it, from the ledgers."""
    first_s = runs.first_run_times_s(running)
    for record in load.records:
        at_s = first_s.get(record.content_digest())
        if at_s is not None:
            record.dispatched_s = at_s - load.start_wall_s


def inject(running, fault):
    """Cause a fault and end it after its duration."""
    names = [fault.target] if fault.target else engine_names(running)
    names = [name for name in names if running.is_alive(name)]
    match fault.kind:
        case 'crash':
            running.kill(fault.target)
            gevent.sleep(fault.for_s or RESTART_DELAY_S)
            running.restart(fault.target)
        case 'withdrawn':
            withdraw(running, fault)
        case 'report_lag':
            for name in names:
                running.set_fault(
                    name, kind='lag', lag_s=REPORT_LAG_S, for_s=fault.for_s
                )
        case 'no_authority':
            running.set_fault('keyvalue', kind='outage', for_s=fault.for_s)
        case 'change_fails':
            for name in names:
                running.set_fault(name, kind='fail_change', for_s=fault.for_s)
        case 'node_loss':
            running.kill(fault.target)
            if fault.for_s is not None:
                gevent.sleep(fault.for_s)
                running.restart(fault.target)


def withdraw(running, fault):
    """Have an engine leave, and return it after the fault's duration.

    It announces :data:`LEAVING_NOTICE_S` before that it is leaving.
    """
    running.set_fault(fault.target, kind='leaving')
    gevent.sleep(LEAVING_NOTICE_S)
    running.set_fault(fault.target, kind='left')
    if fault.for_s is not None:
        gevent.sleep(max(0.0, fault.for_s - LEAVING_NOTICE_S))
        running.set_fault(fault.target, kind='back')


def engine_names(running):
    """Names of the model engines."""
    return [
        endpoint['name']
        for pool in running.settings['pools']
        if pool['kind'] == 'model'
        for endpoint in pool['endpoints']
    ]


def read_faults(file, path, deployment, hosts):
    """Read faults from JSON lines: those of ``lab policy`` and node losses.

    :param path: of the file, for messages
    :param deployment: :class:`traces.Deployment`
    :param hosts: names of the hosts
    :returns: list of :class:`trial.Fault`, the node losses first
    :raises TraceError: with every invalid line and its remedy
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
    """The fault of a line if it is the loss of a node, else None."""
    try:
        fault = trial.Fault(**json.loads(line))
    except (ValueError, TypeError):
        return None
    return fault if fault.kind == NODE_LOSS else None


def read_requests(options, deployment, seed):
    """The trace to run, from a file or generated."""
    if options.trace:
        file = io.StringIO(arguments.read_text(options.trace))
        requests = traces.read(file, options.trace, deployment)
        if options.load is not None:
            requests = traces.scale(requests, options.load, deployment.engines)
        return [each for each in requests if each.at_s <= MAX_TRACE_S]
    shape = traces.Shape(
        options.shape,
        load=options.load or DEFAULT_LOAD,
        period_s=options.period_s,
        amplitude=options.amplitude,
        duration_s=min(options.duration_s, MAX_TRACE_S),
    )
    return traces.generate(deployment, shape, seed)


def check_policies(names):
    """Reject policies that only ``lab policy`` has.

    :raises UsageError: for a policy that nodes do not implement
    """
    for name in names:
        if name not in POLICIES:
            raise errors.UsageError(
                f'nodes do not implement policy {name!r}',
                f'use one of {", ".join(POLICIES)}, or run it with lab policy',
            )


def main(argv):
    """Run the experiment.

    :param argv: command-line arguments after ``lab live``
    :returns: exit status
    """
    args = docopt.docopt(__doc__, ['lab', 'live', *argv])
    options = policy.options_from({**args, **UNSUPPORTED_OPTIONS})
    check_policies(options.policies)
    result = run_all(
        options, args['--keep'], arguments.parse_whole_number(args, '--hosts')
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
    """Run all seeds and policies in sequence.

    :param options: :class:`policy.Options`
    :param keep: directory for the files of the runs, None for a temporary one
    :param hosts: number of hosts to start; 0 for all
    :returns: the JSON result
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
                # Ledgers are opened for appending: each run needs its own.
                directory = f'{keep or scratch}/{seed}-{name}'
                plan = RunPlan(
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
    """Faults of the file, none if no file is given."""
    if not path:
        return []
    hosts = [host['name'] for host in document['hosts']]
    file = io.StringIO(arguments.read_text(path))
    return read_faults(file, path, deployment, hosts)


def render(seed, name, figures):
    """Render the figures of one run as a line of text."""
    return (
        f'seed {seed} {name}: '
        f'goodput {figures["goodput_tokens_s"]:.0f} tokens/s, '
        f'objectives met {figures["met_share"]:.3f}, '
        f'{figures["role_changes"]} role changes, '
        f'{figures["not_run"]} not run, {figures["unknown"]} unknown, '
        f'fairness {figures["fairness"]:.2f}'
    )
