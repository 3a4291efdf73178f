"""Settings: what one process is told at start."""
