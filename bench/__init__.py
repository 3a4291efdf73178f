"""Measurements of cartdale; not part of the package."""
