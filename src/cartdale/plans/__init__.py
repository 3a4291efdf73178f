"""Plans: the difference between an intent and what is in force."""
