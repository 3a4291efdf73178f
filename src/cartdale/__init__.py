"""Serve text generations of unknown length on crowded model engines."""

from cartdale.clock import Clock, Millis, SystemClock, VirtualClock

__all__ = ('Clock', 'Millis', 'SystemClock', 'VirtualClock')
