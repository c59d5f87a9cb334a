"""Days of this project: each kind of trouble twice alone, and together with another.

A day is a scenario of traffic and troubles that the users' program plays against the
service. `kinds` lists the troubles. ``python -m benchmarks.days`` writes a day for each
of them, with the traffic of a day of a site file, and has the users' program play it.
`variants` writes variants of a site file, `timeline` splits the time of Lots into
stages, and `plots` draws the scores of a journal.
"""
