"""Stand-ins for the platform, its workers and its clients, for the review's scripts."""
