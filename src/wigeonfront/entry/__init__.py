"""entry."""
