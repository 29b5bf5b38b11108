"""Tests of what nodes tell each other."""

import hypothesis
import hypothesis.strategies as st
import pytest

from magnoliadyke.core import digests

numbers = st.integers(0, (1 << 32) - 1)
levels = st.floats(0, 1e6, width=32)
counts = st.integers(0, 10**6)
pools = st.builds(digests.PoolDemand, numbers, *[levels] * 5, counts, counts)
customers = st.builds(digests.CustomerUsage, numbers, numbers, levels, counts)
blames = st.lists(st.tuples(numbers, st.floats(0, 6000)), max_size=2)
suspects = st.builds(
    digests.SuspectReport,
    st.binary(min_size=6, max_size=6),
    numbers,
    st.integers(0, 255),
    st.booleans(),
    st.floats(0, 30),
    st.floats(0, 30),
    blames.map(tuple),
)
whole = st.builds(
    digests.Digest,
    numbers,
    st.lists(pools, max_size=8).map(tuple),
    st.lists(customers, max_size=40).map(tuple),
    st.lists(suspects, max_size=40).map(tuple),
)


@hypothesis.given(whole)
def test_size_is_bounded_and_what_fits_comes_back(digest):
    data = digest.to_bytes()
    assert len(data) <= digests.MAX_BYTES <= 600
    read = digests.Digest.from_bytes(data + b'of a later version')
    assert read.epoch == digest.epoch
    assert len(read.pools) == min(len(digest.pools), digests.MAX_POOLS)
    assert read.to_bytes() == data
    for before, after in zip(digest.suspects, read.suspects, strict=False):
        assert after[:4] == before[:4]
        for old, new in zip(before[4:6], after[4:6], strict=True):
            assert new == pytest.approx(old, abs=0.06) or old >= 25.4
        for old, new in zip(before.blames, after.blames, strict=True):
            assert new[0] == old[0]
            assert new[1] == pytest.approx(old[1], abs=0.06)


def test_bytes_cut_short_are_refused_with_a_remedy():
    news = digests.PoolDemand(1, 0.0, 0.0, 0.0, 0.0, 0.0, 0, 0)
    data = digests.Digest(7, (news,)).to_bytes()
    for length in range(len(data)):
        with pytest.raises(ValueError, match='compatible versions'):
            digests.Digest.from_bytes(data[:length])


def test_totals_wrap_and_corrections_are_negative():
    near_end = digests.served_ms(4_294_967.0)
    after = digests.served_ms(4_294_967.0 + 2.5)
    assert digests.served_since_s(near_end, after) == pytest.approx(2.5)
    assert digests.served_since_s(after, near_end) == pytest.approx(-2.5)
