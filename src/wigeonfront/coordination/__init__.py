"""coordination."""
