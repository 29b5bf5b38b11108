"""Ids of prompt prefix blocks, and beliefs about which engine caches them."""

import hashlib

__all__ = ['BLOCK_TOKENS', 'block_ids']

BLOCK_TOKENS = 64
ID_DIGITS = 16


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
