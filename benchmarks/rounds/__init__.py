"""Compares two versions of the code by pairs of plays of the users' program.

A play is one run of a day of a site by that program, which rates the day with its
worth. `plays` plays days, and `pairs` compares the plays of two versions.
``python -m benchmarks.rounds`` does both, and writes the figures as JSON and as a plot.
`ablation` measures what each of the `mechanisms` is worth, with the plays of a file
(`results`), and `troubles` what each trouble of a day costs.
"""
