"""Limits: request rates of customers and services across instances."""
