"""Runs a gateway on the prepared platform: translation only."""
