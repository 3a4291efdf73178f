"""Relay: forward a request to an upstream and return its response."""
