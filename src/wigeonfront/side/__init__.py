"""The side process: the one way to the target beside it.

`supervisor.Side` builds the parts and starts their tasks: the HTTP server with the
peer sessions (`server`), an executor for each attempt that the target runs at once
(`execution`), expiry, ownership of slots (`slots`), and, for a model engine,
`fencing` and `weights`, for a plain service `probe`.
"""
