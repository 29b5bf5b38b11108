"""Passes callers' own HTTP requests through to the endpoints."""
