"""Reports: service-level burn."""
