"""Configuration: the confirmed state in force on this instance."""
