"""The confirmed configuration in force on this instance."""
