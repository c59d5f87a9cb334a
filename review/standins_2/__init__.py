"""Stand-ins for the cases of the second review: platform, workers and clients."""
