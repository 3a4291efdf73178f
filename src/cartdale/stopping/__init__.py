"""Planned stops: what an instance still takes on before it ends."""
