"""Reach upstreams through other instances while the direct path is blocked."""
