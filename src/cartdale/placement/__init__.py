"""Placement: one instance places all requests of a group of engines."""
