"""Limits: shares of customers, held across instances."""
