"""Membership: which instances are alive, leaving or silent."""
