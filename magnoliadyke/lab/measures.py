"""Figures of a run: goodput, met shares, latencies, fairness."""

import collections
import math

from magnoliadyke.core import outcomes
from magnoliadyke.lab import traces

__all__ = ['Backlog', 'figures', 'percentile']

WINDOW_S = 10.0


def percentile(values, share):
    """The nearest-rank percentile, or None of nothing."""
    if not values:
        return None
    ranked = sorted(values)
    rank = max(0, math.ceil(share * len(ranked)) - 1)
    return ranked[rank]


def tokens(job):
    """Tokens that a request is worth when it met its objectives."""
    return job.prompt_tokens + job.output_tokens


class Backlog:
    """Which customers had work waiting throughout each window."""

    def __init__(self):
        self.waiting = collections.Counter()
        self.lowest = {}

    def look(self, waiting, now_s):
        """Note how many jobs of each customer wait now.

        :param waiting: count by customer, at about even times
        """
        window = int(now_s / WINDOW_S)
        for customer, count in waiting.items():
            key = window, customer
            self.lowest[key] = min(self.lowest.get(key, count), count)

    def backlogged(self, window, customers):
        """Customers that had at least one job waiting all the time."""
        return [
            name for name in customers if self.lowest.get((window, name), 0)
        ]


def fairness(answers, backlog, weights):
    """Lowest ratio of served to entitled share.

    Per window of 10 s: the engine-seconds of the jobs that were dispatched
    in it.  A customer with work waiting throughout the window is entitled
    to its weight's share of all that was dispatched.

    :returns: the lowest ratio over all windows, at most 1
    """
    served = collections.defaultdict(collections.Counter)
    for answer in answers:
        if answer.dispatched_s is not None:
            window = int(answer.dispatched_s / WINDOW_S)
            job = answer.job
            cost_s = traces.demand_of(job.prompt_tokens, job.output_tokens)
            served[window][job.customer] += cost_s
    lowest = 1.0
    for window, costs in served.items():
        for customer in backlog.backlogged(window, weights):
            entitled = costs.total() * weights[customer]
            entitled /= sum(weights.values())
            lowest = min(lowest, costs[customer] / entitled)
    return lowest


def figures(answers, backlog, weights, length_s, role_changes, price_tokens):
    """All figures of a run, by the keys of the JSON result.

    A request is met if its answer is whole, its first token came within
    `first_token_s` of its arrival, and its later tokens took `per_token_s`
    or less in the mean.  Goodput counts prompt and output tokens of met
    requests; the objective is goodput less the price of the role changes,
    both per second of the trace.
    """
    answers = list(answers)
    met = [answer for answer in answers if answer.met_objectives()]
    met_tokens = sum(tokens(answer.job) for answer in met)
    goodput = met_tokens / length_s
    customers = {
        name: _customer([a for a in answers if a.job.customer == name])
        for name in weights
    }
    return {
        'goodput_tokens_s': goodput,
        'goodput_requests_s': len(met) / length_s,
        'met_share': len(met) / max(1, len(answers)),
        'role_changes': role_changes,
        'objective': goodput - price_tokens * role_changes / length_s,
        'not_run': _count(answers, outcomes.NotRun),
        'unknown': _count(answers, outcomes.Unknown),
        'customers': customers,
        'fairness': fairness(answers, backlog, weights),
    }


def _count(answers, kind):
    return sum(isinstance(answer.outcome, kind) for answer in answers)


def _customer(answers):
    begun = [a for a in answers if a.first_token_s is not None]
    first = [a.first_token_s - a.job.arrived_s for a in begun]
    between = [a.per_token_s() for a in begun if a.finished_s is not None]
    met = sum(answer.met_objectives() for answer in answers)
    return {
        'requests': len(answers),
        'met_share': met / len(answers) if answers else None,
        'first_token_p50_s': percentile(first, 0.5),
        'first_token_p99_s': percentile(first, 0.99),
        'between_tokens_p50_s': percentile(between, 0.5),
        'between_tokens_p99_s': percentile(between, 0.99),
    }
