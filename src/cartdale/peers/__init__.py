"""Authenticated request-response messages between instances."""
