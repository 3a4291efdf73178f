"""Quarantine: requests that end the upstreams which begin to run them."""
