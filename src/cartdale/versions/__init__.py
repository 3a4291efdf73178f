"""Versions: get the newest configuration that any peer reported."""
