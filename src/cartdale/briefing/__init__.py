"""Bootstrap data that a new instance gets from a peer, without the store."""
