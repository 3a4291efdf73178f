"""Patterns of load, in virtual time and without a network."""
