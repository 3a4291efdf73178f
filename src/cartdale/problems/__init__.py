"""Problems: the typed refusals that a caller can receive."""
