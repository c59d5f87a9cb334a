"""Adapters for the users' platform: its names, formats and calls.

The adapters translate and make no decisions. `boot` reads the platform's settings file,
`metadata_store` calls its store, and `records` and `catalogue` decode the rows of that
store. `target_calls`, `lot_calls` and `engine_calls` define the calls to targets,
`duty_calls` makes the calls that only one machine at a time may make, and `front` and
`lot_front` answer callers and trainers. The package starts no tasks.
"""
