"""Fleet: the upstreams of every service, as one instance believes them to be."""
