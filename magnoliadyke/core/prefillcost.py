"""What it takes to read a prompt, learned from prompts that were read.

A prompt takes a fixed time, in which the engine already reads the next one,
a time for each token, and one for each pair of a token with one before it:
attention looks back at the whole prompt, so a prompt of fifty thousand
tokens takes nearly twice as long for each of them as one of a thousand.
"""

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

#: Before anything was measured, in seconds: beside reading, for a token and
#: for a million pairs.  Low rather than high: too low a guess is mended by
#: the first few measured prompts, too high a one refuses the callers that
#: would have measured it.
PRIOR_LATENCY_S = 0.004
PRIOR_TOKEN_S = 4e-6
PRIOR_MILLION_PAIRS_S = 0.0
#: Prompts of this size anchor the guess, as if so many had been measured.
PRIOR_TOKENS = 8000
PRIOR_WEIGHT = 1.0
#: Measured prompts that are remembered; a few seconds' worth at a busy
#: engine.
MEMORY_PROMPTS = 300
#: A prompt that takes longer than so many times what was expected has waited
#: behind others that nobody here knows of, or its engine has turned slow; it
#: counts as if it had taken so much, and the less the longer it took.  A
#: guess that is too low by a factor of four is mended by twenty prompts all
#: the same.
OUTLIER_FACTOR = 2.0
OUTLIER_WEIGHT_EXPONENT = 4
#: And beyond that, in seconds: engines work in steps of some hundredths of a
#: second, and a prompt may get one more or less than its share of them.
OUTLIER_MARGIN_S = 0.025
#: A prompt that came alone and is read so many times quicker than expected
#: counts as many: no other one can have had a part in that, and while engines
#: are taken for slow callers are refused that would have shown the contrary.
FAST_FACTOR = 1.5
FAST_WEIGHT = 10.0
#: The latency doubles at most in this time, in seconds.  What engines still
#: read for a place before this one holds up the first prompts of all of them
#: for some tenths of a second: taken for latency, that would make every
#: prompt look late long after the engines are free.
LATENCY_DOUBLING_S = 0.4
#: Shortest reading time that is expected, in seconds.
MIN_PREFILL_S = 0.0005
#: An engine that also answers reads at half the speed, before its own was
#: measured; and bounds of what it is taken for.
DECODE_STAGE_FACTOR = 2.0
MIN_FACTOR = 0.5
MAX_FACTOR = 10.0
#: Keeps the three figures apart while prompts of one size come.
RIDGE = 1e-6

MILLION = 1e6
THOUSAND = 1e3


class PromptSize(NamedTuple):
    """What there is to read of a prompt.

    :param tokens: that are not kept
    :param before: kept tokens that come before them
    """

    tokens: float
    cached_tokens: float = 0.0

    @property
    def attention_pairs(self) -> float:
        """Pairs of a token to be read with one before it."""
        return self.tokens * (self.cached_tokens + self.tokens / 2)


class CostCoefficients(NamedTuple):
    """What one place has learned, for the next.

    :param latency_s: of a prompt beside being read
    :param thousand_tokens_s: for a thousand tokens
    :param million_pairs_s: for a million pairs of tokens
    :param answering_factor: how much longer engines take that also answer
    """

    latency_s: float
    thousand_tokens_s: float
    million_pairs_s: float
    decode_stage_factor: float


class PrefillCost(abc.ABC):
    """Seconds that engines of one stage take to read a prompt.

    :ivar surprise: usual share of the expected time that prompts take
    """

    def __init__(self) -> None:
        self.typical_slowness = medianestimator.MedianEstimator(1.0)

    @property
    @abc.abstractmethod
    def latency_s(self) -> float:
        """What a prompt usually takes beside being read."""

    @abc.abstractmethod
    def seconds(self, size: PromptSize) -> float:
        """Expected time to read a prompt, without the latency."""

    @abc.abstractmethod
    def learn(
        self,
        size: PromptSize,
        seconds: float,
        with_latency: bool,
        now_s: float,
    ) -> None:
        """An engine of ordinary speed took this long.

        :param with_latency: the time begins when the engine got it, not when
            it was free to read it
        """

    @abc.abstractmethod
    def coefficients_text(self) -> str:
        """What was learned, for the log."""


class DecodeStagePrefillCost(PrefillCost):
    """That of engines which also answer, by what the others take.

    They read few prompts, or none for a long time: too few to learn more
    than how much slower they are.
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

    def learn(
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
    """That of engines which only read, by least squares.

    :ivar count: prompts that were measured
    :ivar figures: latency in seconds, seconds for a thousand tokens and for
        a million pairs
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
        """Begin with these figures."""
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

    def learn(
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
        """Least squares; a figure that comes out below zero is zero."""
        found = _solve_linear(self._regularized_matrix(), self.normal_vector)
        if found[2] < 0:
            found = self._solve_without(2)
        if found[0] < 0:
            found = self._solve_without(0)
        latency_s, token_s, pairs_s = (max(0.0, each) for each in found)
        since_s = min(
            10 * LATENCY_DOUBLING_S, max(0.0, now_s - self.latency_updated_s)
        )
        growth = 2 ** (since_s / LATENCY_DOUBLING_S)
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
        """The same with one figure held at zero."""
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
    """Solve three linear equations, by Cramer's rule."""
    whole = _determinant(normal_matrix)
    if not whole:
        return (0.0, 0.0, 0.0)
    found = []
    for column in range(3):
        replaced = [list(row) for row in normal_matrix]
        for row in range(3):
            replaced[row][column] = normal_vector[row]
        found.append(_determinant(replaced) / whole)
    return tuple(found)


def _determinant(rows: list[list[float]]) -> float:
    (a, b, c), (d, e, f), (g, h, i) = rows
    return a * (e * i - f * h) - b * (d * i - f * g) + c * (d * h - e * g)
