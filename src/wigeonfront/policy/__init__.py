"""Decisions under load: placement, admission, retries, limits, swaps.

No module here does I/O or starts a task. Entries call `placement`, `circuit`,
`retries`, `overload`, `limits` and `stragglers`; sides call `admission` (with
`waiting`, `estimate` and `fairness`) and `waves`. Clocks and random numbers are
passed in, and each decision carries the reason and figures for its log line.
"""
