"""Stand-ins for the platform, the targets and the trainers, for tests and demos.

Each runs as a process of its own, ``python -m standins.<name> --port P``, and
speaks the interfaces of ``docs/design/interfaces.md`` on the loopback address.
None of it is part of the product.
"""
