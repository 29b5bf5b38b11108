"""Classes of prompts by size, each twice as wide as the one below it."""

__all__ = ['largest_tokens', 'size_class']


def size_class(tokens: int) -> int:
    """Return the size class of a prompt: the binary logarithm, rounded up."""
    return max(0, tokens - 1).bit_length()


def largest_tokens(size_class: int) -> int:
    """Return the size of the largest prompts of a class, in tokens."""
    return 1 << size_class
