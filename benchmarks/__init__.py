"""Benchmarks, run by hand and never in CI."""
