"""Cost models of requests in engine-seconds, fitted online per model."""

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
#: Added before a quotient is truncated: rounding errors must not turn a
#: whole number into the next lower one.
ROUNDING_TOLERANCE = 1e-6
#: Weight of mixed prefill samples above the fitted time; others have 1 minus
#: this weight.
SLOW_SAMPLE_WEIGHT = 0.3


class CostPriors(NamedTuple):
    """Assumed costs of a model before the first samples.

    :param prefill_s_per_token: prefill time per token on an engine in the
        prefill role, in seconds
    :param mixed_prefill_s_per_token: the same on an engine in the decode
        role that decodes no stream
    :param mixed_prefill_s_per_stream: increase of the latter for each
        stream that the engine decodes, in seconds
    :param decode_base_s: fixed part of the time of a decode step, in seconds
    :param decode_s_per_stream: increase of the time of a decode step for
        each stream, in seconds
    :param transfer_s_per_token: time per token to transfer the KV cache to
        the decode engine, in seconds
    :param bytes_per_token: bytes of prompt text in a token
    :param service_s: duration of a call to a plain service, in seconds
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
    """Online fit of ``y = ratio * x`` with exponential forgetting.

    :param prior: ratio before any sample
    :param prior_x: weight of the prior, in units of x
    :param memory_x: decay constant of past samples, in units of x
    """

    __slots__ = ('memory_x', 'ratio', 'sum_x', 'sum_y')

    def __init__(self, prior, prior_x, memory_x):
        self.ratio = prior
        self.sum_x = prior_x
        self.sum_y = prior * prior_x
        self.memory_x = memory_x

    def add(self, x, y):
        """Add a sample; ignored if x is not above 0 or y is below 0."""
        if x <= 0 or y < 0:
            return
        keep = max(0.0, 1.0 - x / self.memory_x)
        self.sum_x = self.sum_x * keep + x
        self.sum_y = self.sum_y * keep + y
        self.ratio = self.sum_y / self.sum_x


class QuantileFit:
    """Online fit of ``y = ratio * x`` to a low quantile of the ratios.

    The observed time of a prefill includes prompts of other nodes that the
    engine processed before it and that this node does not see. Such samples
    are too long, never too short, so a low quantile is less biased than the
    mean.

    :param prior: ratio before any sample
    :param full_x: samples of this x and above have full weight
    :param share: share of the samples that lie below the fitted ratio
    """

    __slots__ = ('full_x', 'ratio', 'share')

    STEP = 0.08

    def __init__(self, prior, full_x, share=0.3):
        self.ratio = prior
        self.full_x = full_x
        self.share = share

    def add(self, x, y):
        """Add a sample; ignored if x is not above 0 or y is below 0."""
        if x <= 0 or y < 0:
            return
        step = self.STEP * min(1.0, x / self.full_x)
        above = y > self.ratio * x
        self.ratio *= 1.0 + step * (self.share - (0.0 if above else 1.0))


class LinearFit:
    """Online least-squares fit of ``y = base + slope * x`` with forgetting.

    The prior counts as two samples that are never forgotten, at x of 0 and
    of ``far_x``. While x hardly varies, the observed samples alone do not
    determine base and slope, which would drift with the noise.

    :param base: prior of the base
    :param slope: prior of the slope
    :param far_x: x of the second prior sample
    :param prior_weight: weight of each prior sample
    :param memory: decay constant, in samples of weight 1
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
        """Add a sample and refit.

        :param weight: weight of the sample, 1 for a full one
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

    Costs are in engine-seconds, which add up. Token counts do not measure
    work once the mix of prompt and output changes: an output token takes an
    engine ten times as long as a prompt token, and its time depends on the
    number of streams that share the decode step.

    :param max_streams: maximum number of streams that an engine decodes in
        one step
    :ivar decode_step: fit of the seconds of a decode step by the number of
        streams
    :ivar prompt_error: reported prompt tokens per estimated one
    :ivar uncached: share of prompt tokens that were not in the cache
    :ivar output_shares: share of the allowed output used, by customer
    """

    def __init__(self, priors=DEFAULT_PRIORS, max_streams=64):
        self.max_streams = max_streams
        self.prefill = QuantileFit(priors.prefill_s_per_token, 500)
        self.mixed_prefill = LinearFit(
            priors.mixed_prefill_s_per_token,
            priors.mixed_prefill_s_per_stream,
            max_streams,
        )
        self.decode_step = LinearFit(
            priors.decode_base_s, priors.decode_s_per_stream, max_streams
        )
        self.transfer = RatioFit(priors.transfer_s_per_token, 2e4, 1e6)
        self.bytes = RatioFit(priors.bytes_per_token, 1e3, 1e6)
        self.prompt_error = RatioFit(1.0, 1e3, 1e6)
        self.uncached = RatioFit(1.0, 2e4, 4e5)
        self.output_shares = {}
        self.service = RatioFit(priors.service_s, 5, 200)

    def prompt_tokens(self, byte_count):
        """Estimate a prompt's tokens from its size in bytes."""
        return max(1, round(byte_count / self.bytes.ratio))

    def output_tokens(self, customer, limit):
        """Predict a job's output tokens from its customer's past jobs.

        :param limit: maximum number of output tokens of the job
        """
        share = self.output_shares.get(customer)
        return limit if share is None else max(1.0, limit * share.ratio)

    def prefill_s(self, role, tokens, streams=0.0):
        """Predict the seconds of a prefill.

        :param role: role of the engine
        :param tokens: uncached prompt tokens
        :param streams: streams that the engine decodes meanwhile
        """
        if role == PREFILL:
            return tokens * self.prefill.ratio
        return tokens * self.mixed_prefill.at(streams)

    def streams_within(self, per_token_s):
        """Return the maximum number of streams within a step time.

        :param per_token_s: maximum time of a decode step, in seconds
        """
        headroom_s = per_token_s - self.decode_step.base
        if headroom_s <= 0:
            # Not even one stream meets the step time. With a fitted slope
            # of 0, as after a pause, the division below would raise in each
            # placement.
            return 1
        if headroom_s >= self.decode_step.slope * self.max_streams:
            return self.max_streams
        return max(
            1, int(headroom_s / self.decode_step.slope + ROUNDING_TOLERANCE)
        )

    def decode_s_per_token(self):
        """Engine-seconds of one output token in a full batch."""
        return self.decode_step.at(self.max_streams) / self.max_streams

    def job_cost(self, job, uncached_tokens):
        """Predict the engine-seconds of a job.

        :param uncached_tokens: prompt tokens that need prefill
        :returns: (prefill, decode); a service call counts as decode
        """
        if job.kind == 'service':
            return 0.0, self.service.ratio
        prefill_s = uncached_tokens * self.prefill.ratio
        output = self.output_tokens(job.customer, job.output_tokens)
        return prefill_s, output * self.decode_s_per_token()

    def observe_prefill(self, role, tokens, elapsed_s, streams=0.0):
        """Add a sample of prefill time.

        Prompts of other nodes lengthen samples, so long ones have a low
        weight.

        :param tokens: uncached prompt tokens
        :param elapsed_s: seconds since the prompt was sent or the engine
            completed the previous one, whichever is later
        """
        if role == PREFILL:
            self.prefill.add(tokens, elapsed_s)
        elif tokens > 0:
            ratio = elapsed_s / tokens
            high = ratio > self.mixed_prefill.at(streams)
            weight = SLOW_SAMPLE_WEIGHT if high else 1.0 - SLOW_SAMPLE_WEIGHT
            self.mixed_prefill.add(streams, ratio, weight)

    def observe_decode_steps(self, streams, tokens, elapsed_s):
        """Add a sample of the time of decode steps.

        :param streams: mean number of streams that shared the steps
        :param tokens: output tokens of one stream, one for each step
        :param elapsed_s: time in which the tokens arrived, in seconds
        """
        if tokens > 0:
            weight = min(1.0, tokens / 50.0)
            self.decode_step.add(streams, elapsed_s / tokens, weight)

    def observe_finish(self, job, result):
        """Add the token counts that an engine reported for a job.

        :param result: :class:`magnoliadyke.core.jobs.Finished`
        """
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
    """Cost models of a node, by model or service pool."""

    def __init__(self, priors=DEFAULT_PRIORS, max_streams=64):
        self.priors = priors
        self.max_streams = max_streams
        self.models = {}

    def cost_model(self, name):
        """Return a model's or service pool's costs, created if missing."""
        model = self.models.get(name)
        if model is None:
            model = CostModel(self.priors, self.max_streams)
            self.models[name] = model
        return model

    def job_cost_model(self, job):
        """Return the costs of the model or service pool of a job."""
        return self.cost_model(job.model or job.pool)
