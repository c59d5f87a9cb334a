"""Compares two versions of the code by pairs of plays of the users' program.

`plays` plays days, `pairs` compares them, and ``python -m benchmarks.rounds`` does
both and writes the figures as JSON and as a plot.
"""
