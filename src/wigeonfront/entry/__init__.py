"""The entry process: takes callers' requests, routes them and assembles Lots.

`supervisor.Entry` builds the parts and starts their tasks: the HTTP server, one
peer task for each side (`directory`, `peers`), the VM list's poll, the control
tasks (`control`: catalogue, members, polling, joining) and the slot tables
(`slots`).
"""
