"""Routing: choose the upstream and the start time of each request."""
