"""Ids of prompt prefix blocks, and an estimate of each engine's cache."""

import hashlib

__all__ = ['BLOCK_TOKENS', 'PrefixCacheEstimate', 'block_ids']

BLOCK_TOKENS = 64
ID_DIGITS = 16
#: Maximum number of blocks tracked as cached by one engine.
MAX_BLOCKS = 8192
#: Maximum number of engines indexed as holders of one block.
MAX_HOLDERS = 8
#: Size of the holder index, as a multiple of the blocks of one engine.
INDEX_FACTOR = 4
#: Lower bound of the trust in an engine's estimate; its maximum is 1.
MIN_TRUST = 0.2
#: Factor on the trust in an engine's estimate after lost cache events.
GAP_TRUST_FACTOR = 0.7
#: Weight of one finished job in the moving average of the trust.
TRUST_STEP = 0.1


def block_ids(words, salt):
    """Chained hash ids of the full blocks of a prompt.

    The id of a block depends on all tokens up to the block's end.

    :param words: tokens of the prompt, as strings
    :param salt: differs by customer, so that customers share no blocks
    :returns: one id for each full block of :data:`BLOCK_TOKENS` tokens
    """
    ids = []
    previous = ''
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = ' '.join(words[start : start + BLOCK_TOKENS])
        digest = hashlib.sha256((previous + salt + block).encode())
        previous = digest.hexdigest()[:ID_DIGITS]
        ids.append(previous)
    return tuple(ids)


class PrefixCacheEstimate:
    """Estimate of the blocks in each engine's prefix cache.

    Blocks are added when this node sends their prompt to an engine, and
    corrected by the engine's cache events. Events arrive late and with
    gaps, so each adds or removes its own blocks only. A gap lowers the trust
    in the engine's estimate and removes no block, since most blocks are
    still cached.

    Block ids are salted by customer, so an estimate reveals nothing about
    prompts of another customer.

    :param max_blocks: maximum number of blocks tracked for each engine
    """

    def __init__(self, max_blocks=MAX_BLOCKS):
        self.max_blocks = max_blocks
        self.blocks = {}
        self.trust = {}
        self.holders = {}

    def record_sent(self, endpoint, blocks):
        """Record blocks of a prompt that this node sent to an engine."""
        held = self.blocks.setdefault(endpoint, {})
        # Inserted last block first, in the eviction order of the engines:
        # the end of a prompt is evicted first, as the fewest prompts share
        # it.
        for block in reversed(blocks):
            held.pop(block, None)
            held[block] = None
        self._trim(held)
        for position in _indexed_positions(len(blocks)):
            self._index(blocks[position], endpoint)

    def record_stored(self, endpoint, blocks):
        """Record blocks that an engine reported as cached."""
        held = self.blocks.setdefault(endpoint, {})
        for block in blocks:
            held[block] = None
            self._index(block, endpoint)
        self._trim(held)

    def record_evicted(self, endpoint, blocks):
        """Record blocks that an engine reported as evicted."""
        held = self.blocks.get(endpoint, {})
        for block in blocks:
            held.pop(block, None)

    def record_event_gap(self, endpoint):
        """Lower the trust in an engine's estimate after lost events."""
        trust = self.trust.get(endpoint, 1.0) * GAP_TRUST_FACTOR
        self.trust[endpoint] = max(MIN_TRUST, trust)

    def record_cache_loss(self, endpoint):
        """Drop the estimate of an engine that crashed or changed its role."""
        self.blocks.pop(endpoint, None)
        self.trust.pop(endpoint, None)

    def update_trust(self, endpoint, estimated_cached_tokens, cached_tokens):
        """Update the trust in an engine's estimate from a finished job.

        :param estimated_cached_tokens: cached prompt tokens estimated when
            the job was placed
        :param cached_tokens: cached prompt tokens that the engine reported
        """
        if estimated_cached_tokens <= 0:
            return
        hit_ratio = min(1.0, cached_tokens / estimated_cached_tokens)
        trust = self.trust.get(endpoint, 1.0)
        trust += TRUST_STEP * (hit_ratio - trust)
        self.trust[endpoint] = max(MIN_TRUST, trust)

    def cached_blocks(self, endpoint, blocks):
        """Length in blocks of the longest prefix estimated as cached.

        Ids are chained and caches evict from the end of a prompt, so a
        cached block implies all blocks before it, and binary search finds
        the length.
        """
        held = self.blocks.get(endpoint)
        if not held or not blocks or blocks[0] not in held:
            return 0
        low, high = 1, len(blocks) + 1
        while high - low > 1:
            middle = (low + high) // 2
            if blocks[middle - 1] in held:
                low = middle
            else:
                high = middle
        return low

    def cached_tokens(self, endpoint, blocks):
        """Prompt tokens estimated as cached, weighted by the trust."""
        count = self.cached_blocks(endpoint, blocks)
        if not count:
            return 0.0
        return count * BLOCK_TOKENS * self.trust.get(endpoint, 1.0)

    def likely_holders(self, blocks):
        """Up to :data:`MAX_HOLDERS` engines that may hold a long prefix."""
        for position in reversed(_indexed_positions(len(blocks))):
            holders = self.holders.get(blocks[position])
            if holders:
                return holders
        return ()

    def _trim(self, held):
        while len(held) > self.max_blocks:
            del held[next(iter(held))]

    def _index(self, block, endpoint):
        holders = self.holders.get(block, ())
        if endpoint in holders:
            return
        kept = holders[-MAX_HOLDERS + 1 :]
        self.holders[block] = (*kept, endpoint)
        if len(self.holders) > INDEX_FACTOR * self.max_blocks:
            del self.holders[next(iter(self.holders))]


def _indexed_positions(length):
    """Positions of the indexed blocks: 0, 1, 3, 7, ... and the last one.

    They are few, and one of them lies near the end of any shared prefix.
    """
    positions = []
    step = 1
    while step <= length:
        positions.append(step - 1)
        step *= 2
    if length and positions[-1] != length - 1:
        positions.append(length - 1)
    return positions
