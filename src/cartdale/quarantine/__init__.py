"""Quarantine of requests that crash the upstreams that begin to run them."""
