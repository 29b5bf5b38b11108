"""Online estimate of the median of a stream of measured times."""

__all__ = ['MedianEstimator']

#: Relative step towards a new sample; twenty steps double the estimate.
MEDIAN_STEP = 0.035
#: Ratio of the upper estimate to the median.
HIGH_RATIO = 1.4


class MedianEstimator:
    """Median of measured times, updated by a small step for each sample.

    A mean would follow the few requests that wait for an engine that is
    down, or behind work from elsewhere.  All prompts would then be expected
    to be late, whatever engine they go to.

    :param initial_s: estimate before the first sample, in seconds, above 0
    """

    def __init__(self, initial_s: float) -> None:
        self.median_s = initial_s

    @property
    def high_s(self) -> float:
        """A time that most samples stay below."""
        return self.median_s * HIGH_RATIO

    def add(self, seconds: float) -> None:
        """Add a sample."""
        step = MEDIAN_STEP if seconds > self.median_s else -MEDIAN_STEP
        self.median_s *= 1 + step
