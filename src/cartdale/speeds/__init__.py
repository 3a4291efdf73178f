"""Speeds: how fast each upstream is, lastingly and at this moment."""
