"""Gateway: the HTTP interface that routes requests by host and path."""
