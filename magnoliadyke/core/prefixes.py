"""Ids of prompt prefix blocks, and beliefs about which engine caches them."""

import hashlib

__all__ = ['BLOCK_TOKENS', 'PrefixCacheEstimate', 'block_ids']

BLOCK_TOKENS = 64
ID_DIGITS = 16
#: Blocks that are believed to be in one engine's cache, at most.
MAX_BLOCKS = 8192
#: Engines remembered as holders of one indexed block.
MAX_HOLDERS = 8
#: Indexed blocks for each one that an engine may hold.
INDEX_FACTOR = 4
MIN_TRUST = 0.2
#: What a gap in an engine's events leaves of the trust in its beliefs.
GAP_TRUST_FACTOR = 0.7
#: How fast trust follows what finished jobs show.
TRUST_STEP = 0.1


def block_ids(words, salt):
    """Name each full block of a prompt by everything up to its end.

    :param words: tokens of the prompt, as strings
    :param salt: keeps the caches of different customers apart
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
    """What each engine's prefix cache is believed to hold.

    Beliefs come first from what this node sent where, and are corrected by
    the engines' events.  Those come late and with gaps, so they add and
    remove single blocks; a gap lowers the trust in an engine's beliefs and
    wipes nothing, since most of what was cached still is.

    Ids are salted by customer, so no belief leads from one customer's
    prompts to another's.

    :param most_blocks: blocks remembered for each engine
    """

    def __init__(self, max_blocks=MAX_BLOCKS):
        self.max_blocks = max_blocks
        self.blocks = {}
        self.trust = {}
        self.holders = {}

    def record_sent(self, endpoint, blocks):
        """This node had the engine read these blocks."""
        held = self.blocks.setdefault(endpoint, {})
        # Last block first, as engines do it: what is evicted first is the
        # far end of a prompt, which is of use to the fewest.
        for block in reversed(blocks):
            held.pop(block, None)
            held[block] = None
        self._trim(held)
        for position in _indexed_positions(len(blocks)):
            self._index(blocks[position], endpoint)

    def record_stored(self, endpoint, blocks):
        """The engine's own word that it cached these blocks."""
        held = self.blocks.setdefault(endpoint, {})
        for block in blocks:
            held[block] = None
            self._index(block, endpoint)
        self._trim(held)

    def record_evicted(self, endpoint, blocks):
        """The engine's own word that it dropped these blocks."""
        held = self.blocks.get(endpoint, {})
        for block in blocks:
            held.pop(block, None)

    def record_event_gap(self, endpoint):
        """Events of the engine were lost."""
        trust = self.trust.get(endpoint, 1.0) * GAP_TRUST_FACTOR
        self.trust[endpoint] = max(MIN_TRUST, trust)

    def record_cache_loss(self, endpoint):
        """The engine lost its cache: a crash, a role change."""
        self.blocks.pop(endpoint, None)
        self.trust.pop(endpoint, None)

    def update_trust(self, endpoint, estimated_cached_tokens, cached_tokens):
        """A finished job shows how far a belief was right."""
        if estimated_cached_tokens <= 0:
            return
        hit_ratio = min(1.0, cached_tokens / estimated_cached_tokens)
        trust = self.trust.get(endpoint, 1.0)
        trust += TRUST_STEP * (hit_ratio - trust)
        self.trust[endpoint] = max(MIN_TRUST, trust)

    def cached_blocks(self, endpoint, blocks):
        """Length of the longest prefix believed cached, in blocks.

        Ids are chained and caches evict from the far end, so a held block
        stands for all before it and the length is found by halving.
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
        """Prompt tokens expected not to need reading, trust included."""
        count = self.cached_blocks(endpoint, blocks)
        if not count:
            return 0.0
        return count * BLOCK_TOKENS * self.trust.get(endpoint, 1.0)

    def likely_holders(self, blocks):
        """Engines that may hold a long prefix, at most a handful."""
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
    """Positions 0, 1, 3, 7, ... and the last: few, yet near any length."""
    positions = []
    step = 1
    while step <= length:
        positions.append(step - 1)
        step *= 2
    if length and positions[-1] != length - 1:
        positions.append(length - 1)
    return positions
