"""Retries: budgets that keep them from amplifying an outage."""
