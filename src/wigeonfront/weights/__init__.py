"""Moves engines to the versions of weights that trainers name.

`plan` decides when an engine loads another version. `mover` sends the orders to one
engine, and `fleet` runs a mover for each engine that an entry orders. `remote` is the
view of an engine on another machine. In `wigeonfront.coordination`, `assignment`
decides which machine orders an engine, and `rights` confirms that it may do so now.

The caller's supervisor runs the tasks `WeightMover.run` and `AssignmentWriter.run`;
`EngineFleet` starts and stops a mover for each engine.
"""
