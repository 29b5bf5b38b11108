"""Tests of prefix block ids and the prefix cache estimate."""

import hashlib

from magnoliadyke.core import prefixes


def test_block_ids_chain_and_keep_customers_apart():
    words = [f'w{number}' for number in range(130)]
    ids = prefixes.block_ids(words, 'lease')
    assert len(ids) == 2
    first = hashlib.sha256(('lease' + ' '.join(words[:64])).encode())
    assert ids[0] == first.hexdigest()[:16]
    assert prefixes.block_ids(words[:64], 'lease') == ids[:1]
    assert not set(ids) & set(prefixes.block_ids(words, 'portal'))


def make_blocks(name, count):
    return tuple(f'{name}-{number}' for number in range(count))


def test_the_longest_believed_prefix_is_found():
    cache_estimate = prefixes.PrefixCacheEstimate()
    sent = make_blocks('file', 37)
    cache_estimate.record_sent('e1', sent)
    for count in (1, 2, 16, 36, 37):
        asked = sent[:count] + make_blocks('other', 5)
        assert cache_estimate.cached_blocks('e1', asked) == count
    assert cache_estimate.cached_blocks('e2', sent) == 0


def test_a_gap_lowers_trust_and_wipes_nothing():
    # Events of an engine were lost, among them evictions perhaps. Wiping
    # the estimate would send every prompt elsewhere and prefill it again.
    cache_estimate = prefixes.PrefixCacheEstimate()
    blocks = make_blocks('file', 10)
    cache_estimate.record_sent('e1', blocks)
    before = cache_estimate.cached_tokens('e1', blocks)
    cache_estimate.record_event_gap('e1')
    assert 0.5 * before < cache_estimate.cached_tokens('e1', blocks) < before
    for _ in range(50):
        cache_estimate.update_trust('e1', 640, 640)
    assert cache_estimate.cached_tokens('e1', blocks) > 0.95 * before


def test_events_correct_beliefs():
    cache_estimate = prefixes.PrefixCacheEstimate()
    blocks = make_blocks('file', 10)
    cache_estimate.record_sent('e1', blocks)
    cache_estimate.record_evicted('e1', blocks[4:])
    assert cache_estimate.cached_blocks('e1', blocks) == 4
    cache_estimate.record_stored('e2', blocks[:6])
    assert cache_estimate.cached_blocks('e2', blocks) == 6
    cache_estimate.record_cache_loss('e1')
    assert cache_estimate.cached_blocks('e1', blocks) == 0


def test_holders_are_found_without_asking_every_engine():
    cache_estimate = prefixes.PrefixCacheEstimate()
    sent = make_blocks('file', 37)
    cache_estimate.record_sent('e1', sent)
    asked = sent[:20] + make_blocks('other', 50)
    assert 'e1' in cache_estimate.likely_holders(asked)
    assert cache_estimate.likely_holders(make_blocks('new', 3)) == ()


def test_memory_is_bounded_and_the_far_end_goes_first():
    cache_estimate = prefixes.PrefixCacheEstimate(max_blocks=100)
    for number in range(20):
        cache_estimate.record_sent('e1', make_blocks(f'file{number}', 8))
    assert len(cache_estimate.blocks['e1']) == 100
    oldest = make_blocks('file7', 8)
    assert 0 < cache_estimate.cached_blocks('e1', oldest) < 8
    bound = prefixes.INDEX_FACTOR * cache_estimate.max_blocks
    assert len(cache_estimate.holders) <= bound
