"""Relay: carry one request to an upstream and its answer back."""
