"""Moves: migrate running generations off an upstream that is leaving."""
