"""Streams: deliver one streamed response from an engine to its caller."""
