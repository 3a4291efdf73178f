"""Fault soak: the real program as processes, with faults from outside."""
