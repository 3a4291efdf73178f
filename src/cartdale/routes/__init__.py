"""Routes: match requests to services and customers."""
