"""Gateway: the HTTP interface that routes callers' requests by host and path."""
