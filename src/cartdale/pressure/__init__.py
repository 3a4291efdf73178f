"""Pressure: bytes held for peers that are slow to read."""
