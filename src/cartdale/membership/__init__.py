"""Membership: who is alive, leaving or silent."""
