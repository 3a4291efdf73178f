"""Operators: the HTTP interface of those who run the system."""
