"""Command: the command-line tool."""
