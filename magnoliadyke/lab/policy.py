"""Compare role policies on the scheduler of the system, in virtual time.

Usage:
  magnoliadyke lab policy --deployment=NAME [options]
  magnoliadyke lab policy --help

Options:
  --deployment=NAME  dala or zarqa.
  --trace=FILE       Run the trace in this CSV file; do not generate one.
  --shape=NAME       Generated trace: steady, swing, step, slow-day,
                     flood-large, flood-small, flash or burst-then-quiet
                     [default: swing].
  --period=SECONDS   Period of a swing or step [default: 240].
  --amplitude=F      Largest deviation of the prefill share from one half
                     [default: 0.4].
  --duration=SECONDS  Length of a generated trace [default: 960].
  --load=F           Mean demand as a share of the pool's capacity. Without
                     it a generated trace has a load of 0.85, and a trace
                     file is not scaled.
  --policy=NAMES     Comma-separated names of policies: fixed, greedy,
                     hysteresis, ours, hindsight [default: all].
  --seed=N           Seed of the trace and of the scheduler [default: 1].
  --seeds=A-B        Run all seeds from A to B.
  --faults=FILE      Inject the faults in this file: JSON lines with at_s,
                     kind, target, for_s. Kinds: crash, withdrawn,
                     report_lag, no_authority, change_fails.
  --processes=N      Number of parallel runs, 6 at most [default: 4].
  --write-trace=FILE Write the trace of the first seed as CSV.
  --json             Print JSON.
  --plot=FILE        Plot goodput, demand and roles as PNG.
  -h --help          Show this text.

A request is met if its answer is complete, its first token comes within
first_token_s and the mean time per later token is at most per_token_s.
Goodput counts prompt and output tokens of met requests; the figure objective
is goodput less the price of role changes. The policy ours is the planner of
the system. The policy fixed runs the two splits that the relaxed model of
hindsight ranks highest; hindsight runs a plan for each of two assumed
utilizations. Of either, the run with the highest objective counts.
"""

import json
import statistics
import sys
from typing import NamedTuple

import docopt

from magnoliadyke.core import roles
from magnoliadyke import errors
from magnoliadyke.lab import baselines
from magnoliadyke.lab import traces
from magnoliadyke.lab import trial
from magnoliadyke.lab import workers

__all__ = ['Options', 'POLICIES', 'main', 'options_from', 'run']

POLICIES = ('fixed', 'greedy', 'hysteresis', 'ours', 'hindsight')
MAX_PROCESSES = 6
#: Utilizations up to which the relaxed model loads an engine; hindsight runs a
#: plan for each.
HINDSIGHT_UTILIZATIONS = (0.94, 1.0)
#: Number of fixed splits to run, from the highest rank in the relaxed model.
FIXED_SPLITS = 2
#: Downtime of an engine during a role change, in the relaxed model.
HINDSIGHT_DOWNTIME_S = 7.0
#: `gap_closed` is computed only if hindsight's objective is at least this
#: multiple of that of the fixed split.
MIN_CEILING_RATIO = 1.05
SUMMARY_KEYS = (
    'goodput_tokens_s',
    'goodput_requests_s',
    'met_share',
    'role_changes',
    'objective',
    'not_run',
    'unknown',
    'fairness',
)


class Options(NamedTuple):
    """Options of the command.

    :param deployment: a key of `traces.DEPLOYMENTS`
    :param trace: path of a CSV file; '' to generate a trace by `shape`
    :param load: mean demand as a share of the pool's capacity; None leaves a
        trace file unscaled
    :param policies: some of `POLICIES`
    :param seeds: seeds to run
    :param faults: path of a file of faults, or ''
    :param processes: number of parallel runs
    :param write_trace: path to write the trace of the first seed to, or ''
    :param plot: path to write a plot to, or ''
    """

    deployment: str
    trace: str = ''
    shape: str = 'swing'
    period_s: float = traces.DEFAULT_PERIOD_S
    amplitude: float = traces.DEFAULT_AMPLITUDE
    duration_s: float = traces.DEFAULT_DURATION_S
    load: float | None = None
    policies: tuple = POLICIES
    seeds: tuple = (1,)
    faults: str = ''
    processes: int = 4
    write_trace: str = ''
    as_json: bool = False
    plot: str = ''


class _Task(NamedTuple):
    """One run: one variant of a policy on the trace of one seed."""

    options: Options
    policy: str
    variant: int
    seed: int


def main(argv):
    """Run the command.

    :param argv: arguments after ``lab policy``
    :returns: the exit status
    :raises UsageError: if an argument is invalid
    """
    arguments = docopt.docopt(__doc__, argv=['lab', 'policy', *argv])
    options = options_from(arguments)
    result = run(options)
    if options.plot:
        # matplotlib is an optional dependency, imported only for a plot.
        from magnoliadyke.lab import plots

        plots.draw(run_trials(options), options.plot)
    if options.as_json:
        json.dump(result, sys.stdout, indent=2)
        print()
    else:
        _print_result(result)
    return 0


def options_from(arguments):
    """Convert and check the command's arguments.

    :param arguments: mapping from docopt
    :returns: :class:`Options`
    :raises UsageError: if an argument is invalid
    """
    load = arguments['--load']
    shape = arguments['--shape']
    policies = tuple(arguments['--policy'].split(','))
    if policies == ('all',):
        policies = POLICIES
    options = Options(
        deployment=arguments['--deployment'],
        trace=arguments['--trace'] or '',
        shape=shape,
        period_s=_parse_positive(arguments, '--period'),
        amplitude=_parse_positive(arguments, '--amplitude'),
        duration_s=_parse_positive(arguments, '--duration'),
        load=None if load is None else _parse_load(load),
        policies=policies,
        seeds=_parse_seeds(arguments),
        faults=arguments['--faults'] or '',
        processes=int(_parse_positive(arguments, '--processes')),
        write_trace=arguments['--write-trace'] or '',
        as_json=arguments['--json'],
        plot=arguments['--plot'] or '',
    )
    _check_name('--deployment', options.deployment, traces.DEPLOYMENTS)
    _check_name('--shape', options.shape, traces.SHAPES)
    for policy in options.policies:
        _check_name('--policy', policy, POLICIES)
    return options


def _check_name(option, name, known):
    if name not in known:
        raise errors.UsageError(
            f'{option}: unknown name {name!r}',
            f'use one of {", ".join(known)}',
        )


def _parse_positive(arguments, option):
    try:
        value = float(arguments[option])
    except ValueError:
        value = 0.0
    if not 0 < value < float('inf'):
        raise errors.UsageError(
            f'{option} is {arguments[option]!r}', 'give a number above 0'
        )
    return value


def _parse_load(text):
    load = _parse_positive({'--load': text}, '--load')
    if load > 10:
        raise errors.UsageError(
            f'--load is {text}',
            "give a share of the pool's capacity, such as 0.85",
        )
    return load


def _parse_seeds(arguments):
    text = arguments['--seeds'] or arguments['--seed']
    first, _, last = text.partition('-')
    try:
        seeds = tuple(range(int(first), int(last or first) + 1))
    except ValueError:
        seeds = ()
    if not seeds:
        raise errors.UsageError(
            f'seeds are {text!r}', 'give a whole number, or A-B with A <= B'
        )
    return seeds


def run(options):
    """Run all policies with all seeds.

    :param options: :class:`Options`
    :returns: JSON-serializable mapping: `runs` has the figures by seed and
        policy, `summary` has [min, median, max] over the seeds
    :raises TraceError: if the file of the trace or of the faults is invalid
    """
    _load_requests(options, options.seeds[0])
    if options.write_trace:
        with open(options.write_trace, 'w', newline='') as file:
            traces.write(_load_requests(options, options.seeds[0]), file)
    tasks = [
        _Task(options, policy, variant, seed)
        for seed in options.seeds
        for policy in options.policies
        for variant in range(_variant_count(options, policy))
    ]
    processes = min(options.processes, MAX_PROCESSES)
    figures = workers.map_tasks(_run_task, tasks, processes)
    runs = {}
    for task, candidate in zip(tasks, figures, strict=True):
        policies = runs.setdefault(task.seed, {})
        best = policies.get(task.policy)
        if best is None or candidate['objective'] > best['objective']:
            policies[task.policy] = candidate
    by_seed = [
        {'seed': seed, 'policies': policies, **_gap_figures(policies)}
        for seed, policies in runs.items()
    ]
    return {
        'deployment': options.deployment,
        'trace': options.trace or options.shape,
        'period_s': options.period_s,
        'load': _effective_load(options),
        'runs': by_seed,
        'summary': _summarize(options, by_seed),
    }


def _effective_load(options):
    if options.load is None and not options.trace:
        return traces.DEFAULT_LOAD
    return options.load


def _load_requests(options, seed):
    deployment = traces.DEPLOYMENTS[options.deployment]
    if options.trace:
        with open(options.trace, newline='') as file:
            requests = traces.read(file, options.trace, deployment)
        if options.load is None:
            return requests
        return traces.scale(requests, options.load, deployment.engines)
    shape = traces.Shape(
        name=options.shape,
        load=_effective_load(options),
        period_s=options.period_s,
        amplitude=options.amplitude,
        duration_s=options.duration_s,
    )
    return traces.generate(deployment, shape, seed)


def _read_faults(options):
    if not options.faults:
        return []
    deployment = traces.DEPLOYMENTS[options.deployment]
    with open(options.faults) as file:
        return trial.read_faults(file, options.faults, deployment)


def _run_task(task):
    return _build_trial(task).run()


def _variant_count(options, policy):
    """Return how many variants of a policy run; the best is reported."""
    if policy == 'fixed':
        return FIXED_SPLITS
    return len(HINDSIGHT_UTILIZATIONS) if policy == 'hindsight' else 1


def _build_trial(task):
    options = task.options
    deployment = traces.DEPLOYMENTS[options.deployment]
    requests = _load_requests(options, task.seed)
    planner, prefills = _build_planner(task, deployment, requests)
    faults = _read_faults(options)
    return trial.Trial(
        deployment, requests, planner, prefills, faults, task.seed
    )


def _build_planner(task, deployment, requests):
    """Return a run's planner and its initial number of prefill engines."""
    match task.policy:
        case 'fixed':
            splits = baselines.rank_splits(
                requests,
                requests[-1].at_s,
                deployment.engines,
                _relaxed_settings(HINDSIGHT_UTILIZATIONS[0]),
            )
            return baselines.Fixed(), splits[task.variant]
        case 'greedy':
            return baselines.Greedy(), trial.INITIAL_PREFILLS
        case 'hysteresis':
            return baselines.Hysteresis(), trial.INITIAL_PREFILLS
        case 'ours':
            planner = roles.Planner(trial.planner_settings())
            return planner, trial.INITIAL_PREFILLS
    settings = _relaxed_settings(HINDSIGHT_UTILIZATIONS[task.variant])
    first, changes, _ = baselines.hindsight_plan(
        requests,
        requests[-1].at_s,
        deployment.engines,
        deployment.price_tokens,
        settings,
        trial.INITIAL_PREFILLS,
    )
    return baselines.Schedule(changes), first


def _relaxed_settings(max_utilization):
    """Return planner settings for the relaxed model.

    They hold the true speeds of the fake engines.

    :param max_utilization: utilization up to which an engine is loaded
    """
    return trial.planner_settings()._replace(
        max_prefill_utilization=max_utilization,
        max_decode_utilization=max_utilization,
        role_change_downtime_s=HINDSIGHT_DOWNTIME_S,
    )


def _gap_figures(figures):
    """Compare ours with the range from the fixed split to hindsight.

    :param figures: figures of the runs of one seed, by policy
    :returns: `ceiling_ratio` and `ours_ratio`, both relative to the fixed
        split, and `gap_closed`, the share of the range that ours gains;
        empty if one of the three policies did not run
    """
    if not {'fixed', 'ours', 'hindsight'} <= set(figures):
        return {}
    fixed = figures['fixed']['objective']
    ours = figures['ours']['objective']
    ceiling = max(figures['hindsight']['objective'], fixed)
    worthwhile = ceiling >= MIN_CEILING_RATIO * fixed
    return {
        'ceiling_ratio': ceiling / fixed,
        'ours_ratio': ours / fixed,
        'gap_closed': (ours - fixed) / (ceiling - fixed)
        if worthwhile
        else None,
    }


def _summarize(options, by_seed):
    summary = {}
    for policy in options.policies:
        runs = [each['policies'][policy] for each in by_seed]
        summary[policy] = {
            key: _min_median_max([figures[key] for figures in runs])
            for key in SUMMARY_KEYS
        }
    for key in ('ceiling_ratio', 'ours_ratio', 'gap_closed'):
        values = [each.get(key) for each in by_seed]
        values = [value for value in values if value is not None]
        if values:
            summary[key] = _min_median_max(values)
    return summary


def _min_median_max(values):
    return [min(values), statistics.median(values), max(values)]


def run_trials(options):
    """Run the first variant of each policy with the first seed.

    :param options: :class:`Options`
    :returns: completed :class:`trial.Trial` by policy
    """
    trials = {}
    for policy in options.policies:
        each = _build_trial(_Task(options, policy, 0, options.seeds[0]))
        each.run()
        trials[policy] = each
    return trials


def _print_result(result):
    print(
        f'{result["deployment"]} {result["trace"]} load {result["load"]} '
        f'seeds {len(result["runs"])}: min / median / max'
    )
    for name, figures in result['summary'].items():
        if isinstance(figures, list):
            print(f'{name:>14} ' + ' / '.join(f'{v:.3f}' for v in figures))
            continue
        print(name)
        for key, values in figures.items():
            shown = ' / '.join(f'{value:.6g}' for value in values)
            print(f'{key:>20} {shown}')
