"""Tests of prefix block ids and cache beliefs."""

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
