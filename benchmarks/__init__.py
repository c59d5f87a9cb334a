"""Benchmarks, which are run by hand and never in CI."""
