"""Decisions without input or output: events in, typed actions out."""

__all__ = []
