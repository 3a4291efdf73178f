"""Moves: carry running generations away from an upstream that leaves."""
