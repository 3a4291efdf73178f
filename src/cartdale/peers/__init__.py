"""Peers: messages between entry instances."""
