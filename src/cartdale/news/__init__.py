"""News: datagrams in which instances publish their state to peers."""
