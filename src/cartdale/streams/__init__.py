"""Streams: one answer from an engine to its caller."""
