"""Callers: the HTTP interface of the users."""
