"""The usual length of something that is measured again and again."""

__all__ = ['MedianEstimator']

#: Step towards a new measurement, as a share; twenty of them double it.
MEDIAN_STEP = 0.035
#: What is kept free for those above the median, as a share of it.
HIGH_SHARE = 1.4


class MedianEstimator:
    """The median of measured times, followed by small steps.

    A mean would follow the few that wait for an engine that is down, or
    behind work that nobody here knows of: all prompts would then be taken
    for too late, whatever engine they go to.

    :param first_s: value before anything was measured, above zero
    """

    def __init__(self, initial_s: float) -> None:
        self.median_s = initial_s

    @property
    def high_s(self) -> float:
        """What most of the measured times stay under."""
        return self.median_s * HIGH_SHARE

    def add(self, seconds: float) -> None:
        """Take a measurement."""
        step = MEDIAN_STEP if seconds > self.median_s else -MEDIAN_STEP
        self.median_s *= 1 + step
