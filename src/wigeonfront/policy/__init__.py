"""policy."""
