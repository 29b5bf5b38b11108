"""What work costs in engine-seconds, fitted online for each model.

Tokens are no measure of work once the mix of prompt and output moves: an
output token takes an engine ten times as long as a prompt token, and how
long depends on how many streams share the step.  Engine-seconds add up.
"""

from typing import NamedTuple

__all__ = [
    'CostModel',
    'CostModels',
    'CostPriors',
    'LinearFit',
    'QuantileFit',
    'RatioFit',
]

DECODE = 'decode'
PREFILL = 'prefill'
#: Keeps a quotient that is whole but for its last digit from falling.
ROUNDING_TOLERANCE = 1e-6
#: Weight of samples that are longer than expected, of 1.
SLOW_SAMPLE_WEIGHT = 0.3


class CostPriors(NamedTuple):
    """What a model is taken to cost before anything was measured.

    :param prefill_s_per_token: on an engine in the prefill role
    :param mixed_prefill_s_per_token: on an engine that also decodes
    :param mixed_prefill_s_per_stream: more of it for each stream there
    :param decode_base_s: a decode step without streams
    :param decode_s_per_stream: more of it for each stream
    :param transfer_s_per_token: KV cache moved to the decoding engine
    :param bytes_per_token: of prompt text
    :param service_s: a call of a plain service
    """

    prefill_s_per_token: float = 0.0002
    mixed_prefill_s_per_token: float = 0.0005
    mixed_prefill_s_per_stream: float = 0.00002
    decode_base_s: float = 0.02
    decode_s_per_stream: float = 0.0004
    transfer_s_per_token: float = 0.00001
    bytes_per_token: float = 4.0
    service_s: float = 0.05


DEFAULT_PRIORS = CostPriors()


class RatioFit:
    """``y = ratio * x``, forgetting what is old.

    :param prior: ratio before any sample
    :param prior_x: weight of the prior, in units of x
    :param memory_x: samples older than about this much x are forgotten
    """

    __slots__ = ('memory_x', 'ratio', 'sum_x', 'sum_y')

    def __init__(self, prior, prior_x, memory_x):
        self.ratio = prior
        self.sum_x = prior_x
        self.sum_y = prior * prior_x
        self.memory_x = memory_x

    def add(self, x, y):
        """Take a sample; one without x, or with y below 0, tells nothing."""
        if x <= 0 or y < 0:
            return
        keep = max(0.0, 1.0 - x / self.memory_x)
        self.sum_x = self.sum_x * keep + x
        self.sum_y = self.sum_y * keep + y
        self.ratio = self.sum_y / self.sum_x


class QuantileFit:
    """``y = ratio * x`` for the least disturbed of the samples.

    The time to read a prompt is known only with what was read before it for
    other nodes, which nobody tells us. Such samples are too long, never too
    short, so a low quantile of the ratios is followed, not their mean.

    :param share: part of the samples that lie below
    :param full_x: samples of this size and above have full weight
    """

    __slots__ = ('full_x', 'ratio', 'share')

    STEP = 0.08

    def __init__(self, prior, full_x, share=0.3):
        self.ratio = prior
        self.full_x = full_x
        self.share = share

    def add(self, x, y):
        """Take a sample; one without x, or with y below 0, tells nothing."""
        if x <= 0 or y < 0:
            return
        step = self.STEP * min(1.0, x / self.full_x)
        above = y > self.ratio * x
        self.ratio *= 1.0 + step * (self.share - (0.0 if above else 1.0))


class LinearFit:
    """``y = base + slope * x`` by least squares, forgetting what is old.

    The prior counts as two samples that are never forgotten: while x hardly
    moves, the measured samples alone don't say what is base and what is
    slope, and the split would drift with the noise.

    :param memory: samples of weight 1 that are remembered
    """

    __slots__ = ('base', 'keep', 'prior', 'slope', 'sums')

    def __init__(self, base, slope, far_x, prior_weight=2.0, memory=200):
        self.base = base
        self.slope = slope
        self.keep = 1.0 - 1.0 / memory
        self.prior = _sums(0.0, base, prior_weight)
        far = _sums(far_x, base + slope * far_x, prior_weight)
        self.prior = [a + b for a, b in zip(self.prior, far, strict=True)]
        self.sums = [0.0] * len(self.prior)

    def at(self, x):
        """Return the fitted y for an x."""
        return self.base + self.slope * x

    def add(self, x, y, weight=1.0):
        """Take a sample.

        :param weight: of the sample, 1 for a full one
        """
        keep = self.keep**weight
        new = _sums(x, y, weight)
        self.sums = [
            old * keep + more for old, more in zip(self.sums, new, strict=True)
        ]
        self._solve()

    def _solve(self):
        w, sx, sy, sxx, sxy = (
            a + b for a, b in zip(self.sums, self.prior, strict=True)
        )
        determinant = w * sxx - sx * sx
        slope = (w * sxy - sx * sy) / determinant
        self.slope = min(max(slope, 0.0), sy / max(sx, 1e-9))
        self.base = (sy - self.slope * sx) / w


def _sums(x, y, weight):
    return [weight, weight * x, weight * y, weight * x * x, weight * x * y]


class CostModel:
    """Costs of one model, or of one pool of plain services.

    :param max_streams: streams that an engine decodes in one step
    """

    def __init__(self, priors=DEFAULT_PRIORS, max_streams=64):
        self.max_streams = max_streams
        self.prefill = QuantileFit(priors.prefill_s_per_token, 500)
        self.mixed_prefill = LinearFit(
            priors.mixed_prefill_s_per_token,
            priors.mixed_prefill_s_per_stream,
            max_streams,
        )
        self.pace = LinearFit(
            priors.decode_base_s, priors.decode_s_per_stream, max_streams
        )
        self.transfer = RatioFit(priors.transfer_s_per_token, 2e4, 1e6)
        self.bytes = RatioFit(priors.bytes_per_token, 1e3, 1e6)
        self.prompt_error = RatioFit(1.0, 1e3, 1e6)
        self.uncached = RatioFit(1.0, 2e4, 4e5)
        self.output_shares = {}
        self.service = RatioFit(priors.service_s, 5, 200)

    def prompt_tokens(self, byte_count):
        """Estimate a prompt's length from its size in bytes."""
        return max(1, round(byte_count / self.bytes.ratio))

    def output_tokens(self, customer, limit):
        """Expect how much of the allowed output a customer's job uses."""
        share = self.output_shares.get(customer)
        return limit if share is None else max(1.0, limit * share.ratio)

    def prefill_s(self, role, tokens, streams=0.0):
        """Seconds for an engine to read so many prompt tokens."""
        if role == PREFILL:
            return tokens * self.prefill.ratio
        return tokens * self.mixed_prefill.at(streams)

    def streams_within(self, per_token_s):
        """Streams that an engine can decode at this pace or better."""
        headroom_s = per_token_s - self.pace.base
        if headroom_s <= 0:
            # Not even one stream keeps the pace. With a fitted slope of 0,
            # as after a pause, the division below would end each decision.
            return 1
        if headroom_s >= self.pace.slope * self.max_streams:
            return self.max_streams
        return max(1, int(headroom_s / self.pace.slope + ROUNDING_TOLERANCE))

    def decode_s_per_token(self):
        """Engine-seconds of an output token in a full batch."""
        return self.pace.at(self.max_streams) / self.max_streams

    def job_cost(self, job, uncached_tokens):
        """Engine-seconds of a job: prefill and decode.

        :param uncached_tokens: prompt tokens that have to be read
        """
        if job.kind == 'service':
            return 0.0, self.service.ratio
        prefill_s = uncached_tokens * self.prefill.ratio
        output = self.output_tokens(job.customer, job.output_tokens)
        return prefill_s, output * self.decode_s_per_token()

    def observe_prefill(self, role, tokens, elapsed_s, streams=0.0):
        """Learn from a prompt; what others had read meanwhile counts little.

        :param elapsed_s: since it, or the engine, could begin
        """
        if role == PREFILL:
            self.prefill.add(tokens, elapsed_s)
        elif tokens > 0:
            ratio = elapsed_s / tokens
            high = ratio > self.mixed_prefill.at(streams)
            weight = SLOW_SAMPLE_WEIGHT if high else 1.0 - SLOW_SAMPLE_WEIGHT
            self.mixed_prefill.add(streams, ratio, weight)

    def observe_pace(self, streams, tokens, elapsed_s):
        """Learn from output tokens how long a decode step takes.

        :param streams: that shared the steps
        :param tokens: of one stream, one for each step
        :param elapsed_s: in which they came
        """
        if tokens > 0:
            weight = min(1.0, tokens / 50.0)
            self.pace.add(streams, elapsed_s / tokens, weight)

    def observe_finish(self, job, result):
        """Learn from the lengths that an engine counted itself."""
        self.prompt_error.add(job.prompt_tokens, result.prompt_tokens)
        if result.prompt_tokens:
            left = max(0, result.prompt_tokens - result.cached_tokens)
            self.uncached.add(result.prompt_tokens, left)
        if job.output_tokens:
            share = self.output_shares.get(job.customer)
            if share is None:
                share = RatioFit(1.0, 500, 5e4)
                self.output_shares[job.customer] = share
            share.add(job.output_tokens, result.output_tokens)


class CostModels:
    """The cost models of a node, by model or service pool."""

    def __init__(self, priors=DEFAULT_PRIORS, max_streams=64):
        self.priors = priors
        self.max_streams = max_streams
        self.models = {}

    def of(self, name):
        """Return the costs of a model or service pool, made when missing."""
        model = self.models.get(name)
        if model is None:
            model = CostModel(self.priors, self.max_streams)
            self.models[name] = model
        return model

    def of_job(self, job):
        """Return the costs of what a job asks for."""
        return self.of(job.model or job.pool)
