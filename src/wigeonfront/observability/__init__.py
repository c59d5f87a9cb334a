"""Logs, metrics and the search for a request's log lines."""
