"""Retries: budgets that prevent retries from amplifying an outage."""
