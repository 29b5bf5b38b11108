"""Plots of demand, roles and goodput of policy runs over time."""

from magnoliadyke import errors
from magnoliadyke.lab import measures

__all__ = ['draw']

BIN_S = 10.0


def draw(trials, path):
    """Plot the runs of several policies into a PNG file.

    :param trials: completed :class:`magnoliadyke.lab.trial.Trial` by policy
    :param path: path of the file
    :raises UsageError: if matplotlib is not installed
    """
    try:
        from matplotlib import figure
    except ImportError:
        raise errors.UsageError(
            'drawing needs matplotlib', 'install magnoliadyke[plots]'
        ) from None
    chart = figure.Figure(figsize=(10, 7), layout='constrained')
    demand, roles, goodput = chart.subplots(3, 1, sharex=True)
    for name, trial in trials.items():
        times = [each[0] for each in trial.splits]
        prefills = [each[1] for each in trial.splits]
        roles.step(times, prefills, where='post', label=name)
        goodput.plot(*_goodput(trial), label=name)
    samples = next(iter(trials.values())).splits
    times = [each[0] for each in samples]
    demand.plot(
        times, [s[2].prefill_s_per_s for s in samples], label='prefill'
    )
    demand.plot(times, [s[2].decode_s_per_s for s in samples], label='decode')
    demand.set_ylabel('demand (engines)')
    roles.set_ylabel('prefill engines')
    goodput.set_ylabel('goodput (tokens/s)')
    goodput.set_xlabel('time (s)')
    for axes in (demand, roles, goodput):
        axes.legend(loc='upper right', fontsize='small')
    chart.savefig(path)


def _goodput(trial):
    """Return bin starts and goodput in tokens/s, binned by arrival time."""
    sums = [0.0] * (int(trial.length_s / BIN_S) + 1)
    for answer in trial.pool.answers.values():
        if answer.met_objectives():
            bin_index = int(answer.job.arrived_s / BIN_S)
            sums[bin_index] += measures.job_tokens(answer.job) / BIN_S
    return [bin_index * BIN_S for bin_index in range(len(sums))], sums
