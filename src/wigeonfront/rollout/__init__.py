"""Lots, which are stored in the platform's store and run by the entry that owns them.

`lots` answers the calls of trainers. `repository` stores Lots, `known_lots` and
`owner_calls` read the Lots of other processes, and `ownership` and `takeover` decide
which entry owns a Lot. `runner` runs all Lots that the process owns: `progress` is the
state of one of them, `scheduling`, `overload`, `placement` and `picking` decide which
sample runs next and where, `lot_demand` and `engine_shares` how many slots a trainer
may use, `sample_run` runs one sample, `after_run` decides what follows the run, and
`scoring` gets the score of the text.

While the store is unavailable, `acceptance` and `submissions` accept Lots on disks, and
`spooling` writes results to disks.

Tasks for the caller's supervisor: `LotRunner.send_loop`, `ResultWriter.run`,
`Scoring.run`, `LoadFollower.run` and `Lots.takeover_loop`. Each run of a sample and
each reward call has a thread of its own.
"""
