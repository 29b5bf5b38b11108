"""Cost models of prefill, fitted to measured prompts."""

import abc
from typing import NamedTuple

from magnoliadyke.core import medianestimator

__all__ = [
    'DecodeStagePrefillCost',
    'FittedCost',
    'CostCoefficients',
    'PromptSize',
    'PrefillCost',
]

#: Prior coefficients in seconds: latency, time of a token, and time of a
#: million pairs.  They are low on purpose: the first few measured prompts
#: correct a prior that is too low, while one that is too high refuses the
#: requests that would correct it.
PRIOR_LATENCY_S = 0.004
PRIOR_TOKEN_S = 4e-6
PRIOR_MILLION_PAIRS_S = 0.0
#: Size in tokens of the prompt that represents the prior in the fit, and its
#: weight in measured prompts.
PRIOR_TOKENS = 8000
PRIOR_WEIGHT = 1.0
#: Measured prompts over which earlier samples decay; a few seconds of load at
#: a busy engine.
MEMORY_PROMPTS = 300
#: A prompt that takes longer than this multiple of its expected time was
#: queued behind prompts from elsewhere, or its engine has become slow.  Its
#: time is clipped to this multiple, and its weight falls with this power of
#: the excess.  Estimates that are too low by a factor of four are still
#: corrected within twenty prompts.
OUTLIER_FACTOR = 2.0
OUTLIER_WEIGHT_EXPONENT = 4
#: Margin above that multiple, in seconds: engines work in steps of some
#: hundredths of a second, and a prompt may take one step more or less.
OUTLIER_MARGIN_S = 0.025
#: A prompt sent to an idle engine that completes this many times faster than
#: expected gets this weight: no other prompt can have affected it, and while
#: the estimates are too high, the requests that would correct them are
#: refused.
FAST_FACTOR = 1.5
FAST_WEIGHT = 10.0
#: Minimum time in which the fitted latency may double, in seconds.  After a
#: change of the placement leader, prompts sent by the previous leader delay
#: the first prompts of all engines by some tenths of a second.  Fitted as
#: latency, that delay would make every prompt look late long after the
#: engines are free.
LATENCY_DOUBLING_S = 0.4
#: Lower bound of the expected prefill time, in seconds.
MIN_PREFILL_S = 0.0005
#: Prior factor by which decode engines prefill more slowly than prefill
#: engines, and the bounds of one sample of it.
DECODE_STAGE_FACTOR = 2.0
MIN_FACTOR = 0.5
MAX_FACTOR = 10.0
#: Ridge regularization: keeps the fit solvable while all prompts have the
#: same size.
RIDGE = 1e-6

MILLION = 1e6
THOUSAND = 1e3


class PromptSize(NamedTuple):
    """The part of a prompt that has to be prefilled.

    :param tokens: tokens that are not cached
    :param cached_tokens: cached tokens that precede them
    """

    tokens: float
    cached_tokens: float = 0.0

    @property
    def attention_pairs(self) -> float:
        """Number of pairs of a token to prefill with an earlier token."""
        return self.tokens * (self.cached_tokens + self.tokens / 2)


class CostCoefficients(NamedTuple):
    """Learned coefficients, as one placement leader hands them to the next.

    :param latency_s: latency of a prompt besides its prefill time, in seconds
    :param thousand_tokens_s: prefill time of a thousand tokens, in seconds
    :param million_pairs_s: prefill time of a million pairs of tokens, in
        seconds
    :param decode_stage_factor: factor by which decode engines take longer
    """

    latency_s: float
    thousand_tokens_s: float
    million_pairs_s: float
    decode_stage_factor: float


class PrefillCost(abc.ABC):
    """Cost model of prefill on the engines of one stage.

    A prompt takes a fixed latency, which overlaps with the prefill of the
    next one, a time for each token, and a time for each pair of a token with
    an earlier one: attention covers the whole prompt, so that a token takes
    nearly twice as long in a prompt of fifty thousand tokens as in one of a
    thousand.

    :ivar typical_slowness: median slowness of these engines, which is the
        ratio of measured to expected prefill time
    """

    def __init__(self) -> None:
        self.typical_slowness = medianestimator.MedianEstimator(1.0)

    @property
    @abc.abstractmethod
    def latency_s(self) -> float:
        """Usual latency of a prompt besides its prefill time."""

    @abc.abstractmethod
    def seconds(self, size: PromptSize) -> float:
        """Return the expected prefill time, without the latency."""

    @abc.abstractmethod
    def update(
        self,
        size: PromptSize,
        seconds: float,
        with_latency: bool,
        now_s: float,
    ) -> None:
        """Add a sample from an engine of ordinary speed.

        :param seconds: the measured prefill time
        :param with_latency: whether the time was measured from the arrival
            of the prompt, and not from when the engine was free for it
        """

    @abc.abstractmethod
    def coefficients_text(self) -> str:
        """Return the learned coefficients as text for the log."""


class DecodeStagePrefillCost(PrefillCost):
    """Cost model of decode engines, relative to that of prefill engines.

    Decode engines prefill few prompts, or none for a long time: too few to
    learn more than the factor by which they are slower.

    :param reference: cost model of the prefill engines
    """

    def __init__(self, reference: PrefillCost) -> None:
        super().__init__()
        self.reference = reference
        self.factor = medianestimator.MedianEstimator(DECODE_STAGE_FACTOR)

    @property
    def latency_s(self) -> float:
        return self.reference.latency_s

    def seconds(self, size: PromptSize) -> float:
        return self.factor.median_s * self.reference.seconds(size)

    def update(
        self,
        size: PromptSize,
        seconds: float,
        with_latency: bool,
        now_s: float,
    ) -> None:
        if with_latency:
            seconds -= self.latency_s
        factor = seconds / self.reference.seconds(size)
        self.factor.add(min(MAX_FACTOR, max(MIN_FACTOR, factor)))

    def coefficients_text(self) -> str:
        return f'{self.factor.median_s:.2f}x'


class FittedCost(PrefillCost):
    """Cost model of prefill engines, fitted by least squares.

    :ivar count: number of measured prompts
    :ivar coefficients: latency, time of a thousand tokens and time of a
        million pairs, in seconds
    :ivar normal_matrix: matrix of the normal equations
    :ivar normal_vector: right-hand side of the normal equations
    """

    def __init__(self) -> None:
        super().__init__()
        self.decay = 1.0 - 1.0 / MEMORY_PROMPTS
        self.count = 0
        self.set_coefficients(
            PRIOR_LATENCY_S, PRIOR_TOKEN_S * THOUSAND, PRIOR_MILLION_PAIRS_S
        )

    def set_coefficients(
        self,
        latency_s: float,
        thousand_tokens_s: float,
        million_pairs_s: float,
    ) -> None:
        """Restart the fit from the given coefficients as its prior."""
        self.latency_updated_s = float('inf')
        self.normal_matrix = [[0.0] * 3 for _ in range(3)]
        self.normal_vector = [0.0] * 3
        self.coefficients = (latency_s, thousand_tokens_s, million_pairs_s)
        for size, with_latency in (
            (PromptSize(0), True),
            (PromptSize(PRIOR_TOKENS), False),
        ):
            features = _features(size, with_latency)
            seconds = _product(features, self.coefficients)
            self._add(features, seconds, PRIOR_WEIGHT)
        pairs = _features(PromptSize(PRIOR_TOKENS), False)[2]
        pairs_s = pairs * million_pairs_s
        self._add((0.0, 0.0, pairs), pairs_s, PRIOR_WEIGHT)

    @property
    def latency_s(self) -> float:
        return self.coefficients[0]

    def coefficients_text(self) -> str:
        latency_s, token_s, pairs_s = self.coefficients
        return f'{latency_s:.4f}s+{token_s:.5f}s/1000+{pairs_s:.6f}s/1e6'

    def seconds(self, size: PromptSize) -> float:
        _, token_s, pairs_s = self.coefficients
        seconds = token_s * size.tokens / THOUSAND
        seconds += pairs_s * size.attention_pairs / MILLION
        return max(MIN_PREFILL_S, seconds)

    def update(
        self,
        size: PromptSize,
        seconds: float,
        with_latency: bool,
        now_s: float,
    ) -> None:
        features = _features(size, with_latency)
        expected_s = max(MIN_PREFILL_S, _product(features, self.coefficients))
        max_s = expected_s * OUTLIER_FACTOR + OUTLIER_MARGIN_S
        weight = 1.0
        if seconds > max_s:
            weight = (max_s / seconds) ** OUTLIER_WEIGHT_EXPONENT
        elif with_latency and seconds * FAST_FACTOR < expected_s:
            weight = FAST_WEIGHT
        self.count += 1
        self._add(features, min(seconds, max_s), weight)
        self._solve(now_s)

    def _add(
        self, features: tuple[float, ...], seconds: float, weight: float
    ) -> None:
        for row, feature in enumerate(features):
            self.normal_vector[row] = (
                self.normal_vector[row] * self.decay
                + weight * feature * seconds
            )
            for column, other in enumerate(features):
                self.normal_matrix[row][column] = (
                    self.normal_matrix[row][column] * self.decay
                    + weight * feature * other
                )

    def _solve(self, now_s: float) -> None:
        """Solve for the coefficients; a negative one is held at zero."""
        found = _solve_linear(self._regularized_matrix(), self.normal_vector)
        if found[2] < 0:
            found = self._solve_without(2)
        if found[0] < 0:
            found = self._solve_without(0)
        latency_s, token_s, pairs_s = (max(0.0, each) for each in found)
        elapsed_s = min(
            10 * LATENCY_DOUBLING_S, max(0.0, now_s - self.latency_updated_s)
        )
        growth = 2 ** (elapsed_s / LATENCY_DOUBLING_S)
        latency_s = min(
            latency_s, max(PRIOR_LATENCY_S, self.latency_s) * growth
        )
        self.latency_updated_s = now_s
        self.coefficients = (latency_s, token_s, pairs_s)

    def _regularized_matrix(self) -> list[list[float]]:
        normal_matrix = [list(row) for row in self.normal_matrix]
        for each in range(3):
            normal_matrix[each][each] += RIDGE
        return normal_matrix

    def _solve_without(self, index: int) -> tuple[float, float, float]:
        """Solve for the coefficients with one of them held at zero."""
        normal_matrix = self._regularized_matrix()
        normal_vector = list(self.normal_vector)
        for each in range(3):
            normal_matrix[each][index] = 0.0
            normal_matrix[index][each] = 0.0
        normal_matrix[index][index] = 1.0
        normal_vector[index] = 0.0
        return _solve_linear(normal_matrix, normal_vector)


def _features(
    size: PromptSize, with_latency: bool
) -> tuple[float, float, float]:
    return (
        1.0 if with_latency else 0.0,
        size.tokens / THOUSAND,
        size.attention_pairs / MILLION,
    )


def _product(one: tuple[float, ...], other: tuple[float, ...]) -> float:
    return sum(a * b for a, b in zip(one, other, strict=True))


def _solve_linear(
    normal_matrix: list[list[float]], normal_vector: list[float]
) -> tuple[float, float, float]:
    """Solve three linear equations by Cramer's rule.

    :returns: the solution; zeros if the matrix is singular
    """
    determinant = _determinant(normal_matrix)
    if not determinant:
        return (0.0, 0.0, 0.0)
    found = []
    for column in range(3):
        replaced = [list(row) for row in normal_matrix]
        for row in range(3):
            replaced[row][column] = normal_vector[row]
        found.append(_determinant(replaced) / determinant)
    return tuple(found)


def _determinant(rows: list[list[float]]) -> float:
    (a, b, c), (d, e, f), (g, h, i) = rows
    return a * (e * i - f * h) - b * (d * i - f * g) + c * (d * h - e * g)
