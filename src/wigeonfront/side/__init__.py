"""side."""
