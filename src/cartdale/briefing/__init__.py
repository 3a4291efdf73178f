"""Briefing: what a new instance learns from another one, without the store."""
