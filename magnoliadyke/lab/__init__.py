"""Stand-ins, load and experiments on one machine."""

__all__ = []
