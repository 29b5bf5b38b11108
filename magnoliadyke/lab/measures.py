"""Figures of a run: goodput, attained objectives, latency, fairness."""

import collections
import math

from magnoliadyke.core import outcomes
from magnoliadyke.lab import traces

__all__ = ['Backlog', 'figures', 'percentile']

#: Window over which fairness is computed.
WINDOW_S = 10.0


def percentile(values, share):
    """Return the nearest-rank percentile, or None if there are no values.

    :param share: share of the values at or below the result, from 0 to 1
    """
    if not values:
        return None
    ranked = sorted(values)
    rank = max(0, math.ceil(share * len(ranked)) - 1)
    return ranked[rank]


def job_tokens(job):
    """Return the tokens that a request adds to goodput if it is met."""
    return job.prompt_tokens + job.output_tokens


class Backlog:
    """Records which customers had jobs waiting throughout a window."""

    def __init__(self):
        self.waiting = collections.Counter()
        self.min_waiting = {}

    def record_sample(self, waiting, now_s):
        """Record the number of waiting jobs; call it at regular intervals.

        :param waiting: number of waiting jobs by customer
        :param now_s: time of the sample
        """
        window = int(now_s / WINDOW_S)
        for customer, count in waiting.items():
            key = window, customer
            self.min_waiting[key] = min(
                self.min_waiting.get(key, count), count
            )

    def backlogged_customers(self, window, customers):
        """Return the customers with a waiting job in every sample.

        :param window: index of the window
        :param customers: names of the customers to check
        """
        return [
            name
            for name in customers
            if self.min_waiting.get((window, name), 0)
        ]


def fairness(answers, backlog, weights):
    """Compute the lowest ratio of a customer's service to its entitlement.

    Service is measured in engine-seconds of the jobs dispatched in a window
    of 10 s.  A customer with jobs waiting throughout the window is entitled
    to a share of all jobs dispatched in it, in proportion to its weight.

    :param answers: :class:`magnoliadyke.lab.fakes.Answer` of all jobs
    :param backlog: :class:`Backlog` of the run
    :param weights: weight of each customer
    :returns: the lowest ratio over all windows and customers, at most 1
    """
    served = collections.defaultdict(collections.Counter)
    for answer in answers:
        if answer.dispatched_s is not None:
            window = int(answer.dispatched_s / WINDOW_S)
            job = answer.job
            cost_s = traces.request_demand_s(
                job.prompt_tokens, job.output_tokens
            )
            served[window][job.customer] += cost_s
    lowest = 1.0
    for window, costs in served.items():
        for customer in backlog.backlogged_customers(window, weights):
            entitled = costs.total() * weights[customer]
            entitled /= sum(weights.values())
            lowest = min(lowest, costs[customer] / entitled)
    return lowest


def figures(answers, backlog, weights, length_s, role_changes, price_tokens):
    """Compute all figures of a run, by the keys of the JSON result.

    A request is met if its answer is complete, its first token was generated
    within `first_token_s` of its arrival, and the mean time of its later
    tokens is at most `per_token_s`.  Goodput counts prompt and output tokens
    of met requests.  The figure `objective` is goodput less the price of the
    role changes, both per second of the trace.

    :param answers: :class:`magnoliadyke.lab.fakes.Answer` of all jobs
    :param backlog: :class:`Backlog` of the run
    :param weights: weight of each customer
    :param length_s: length of the trace
    :param role_changes: number of role changes
    :param price_tokens: number of tokens deducted for each role change
    """
    answers = list(answers)
    met = [answer for answer in answers if answer.met_objectives()]
    met_tokens = sum(job_tokens(answer.job) for answer in met)
    goodput = met_tokens / length_s
    customers = {
        name: _customer_figures([a for a in answers if a.job.customer == name])
        for name in weights
    }
    return {
        'goodput_tokens_s': goodput,
        'goodput_requests_s': len(met) / length_s,
        'met_share': len(met) / max(1, len(answers)),
        'role_changes': role_changes,
        'objective': goodput - price_tokens * role_changes / length_s,
        'not_run': _count_outcomes(answers, outcomes.NotRun),
        'unknown': _count_outcomes(answers, outcomes.Unknown),
        'customers': customers,
        'fairness': fairness(answers, backlog, weights),
    }


def _count_outcomes(answers, outcome_type):
    return sum(isinstance(answer.outcome, outcome_type) for answer in answers)


def _customer_figures(answers):
    started = [a for a in answers if a.first_token_s is not None]
    first_token_times_s = [a.first_token_s - a.job.arrived_s for a in started]
    token_intervals_s = [
        a.per_token_s() for a in started if a.finished_s is not None
    ]
    met = sum(answer.met_objectives() for answer in answers)
    return {
        'requests': len(answers),
        'met_share': met / len(answers) if answers else None,
        'first_token_p50_s': percentile(first_token_times_s, 0.5),
        'first_token_p99_s': percentile(first_token_times_s, 0.99),
        'between_tokens_p50_s': percentile(token_intervals_s, 0.5),
        'between_tokens_p99_s': percentile(token_intervals_s, 0.99),
    }
