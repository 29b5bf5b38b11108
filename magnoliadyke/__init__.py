"""Serving system between callers and a fixed fleet of endpoints."""

__all__ = ['__version__']

__version__ = '0.1.0'
