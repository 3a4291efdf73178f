"""Fleet: the upstreams of every service, as one instance sees them."""
