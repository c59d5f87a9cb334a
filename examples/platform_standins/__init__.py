"""Stand-ins for the users' platform that speak its published protocol.

`rows` holds the store's state and `store` serves it. `engine` has a model engine and a
plain service, `crashing` a plain service that crashes on some requests. `duties` checks
the reports of duties. `deployment` writes the rows that an operator, the targets and
the trainers of a platform write. `relay` is a TCP relay that injects network faults,
`server` the base of the stand-ins that listen, and `ports` finds free ports.
"""
