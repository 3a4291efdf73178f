"""Declarations: what operators state, kept in version control."""
