"""Daemon: the long-running process."""
