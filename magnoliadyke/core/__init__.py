"""Decision logic without I/O: takes events, returns typed actions."""

__all__ = []
