"""Lots that are kept in the platform's store and run by the entry that owns them.

`lots` answers the calls of trainers; `repository` keeps Lots, `known_lots` and
`owner_calls` read those of other processes, `ownership` and `takeover` decide who owns
which. `runner` runs all that are owned here: `progress` is the state of one, `order`,
`overload`, `placing` and `picking` decide what runs next and where, `sample_run` runs
one sample, `after_run` decides what becomes of it, and `scoring` has its text scored.

Tasks for the caller's supervisor: `LotRunner.send_loop`, `ResultWriter.run`,
`Scoring.run`, `LoadFollower.run` and `Lots.takeover_loop`. A thread of its own runs each
sample and each reward call.
"""
