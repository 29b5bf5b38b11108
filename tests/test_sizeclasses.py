"""Size classes of prompts."""

import hypothesis
from hypothesis import strategies

from magnoliadyke.core import sizeclasses

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


@SETTINGS
@hypothesis.given(strategies.integers(1, 1 << 20))
def test_a_class_is_at_most_twice_as_wide_as_the_one_below(tokens):
    size_class = sizeclasses.size_class(tokens)
    largest = sizeclasses.largest_tokens(size_class)
    assert tokens <= largest < 2 * tokens
