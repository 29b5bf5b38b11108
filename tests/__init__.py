"""Tests of magnoliadyke."""
