"""News: what instances tell each other in datagrams."""
