"""Routes: which service a request goes to, and for whom."""
