"""HTTP interface for the users of the services."""
