"""Model: the systems served, as pure code in virtual time."""
