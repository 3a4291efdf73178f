"""Engines: model engines and plain services behind one adapter."""
