"""Coordination of the processes of a deployment; other programs can embed the parts.

The package starts no tasks by itself. `rows` defines the interface of a store of rows
and the outcomes of its calls. `mirror` keeps a replica of the rows below a prefix,
`feed` serves a mirror to other processes, `relay` makes store calls for them, and
`meter` counts store calls. `membership` keeps a process registered under a lease.
`assignment` and `rights` agree on the machine that may act for each subject.
`rendezvous` and `ring` map keys to names in the same way in every process, and
`clock_offset` estimates the time of day from the clocks of several machines.
"""
