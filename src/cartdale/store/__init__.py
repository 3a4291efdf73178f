"""Store: the platform's key-value service behind one adapter."""
