"""Adapter that runs a gateway on the platform's store and protocols."""
