"""A randomized fault soak of the programs that run on the users' platform.

`cluster` starts entries as processes and injects faults from outside them. `trainer`
sends Lots and checks the guarantees that a trainer relies on, and `caller` does so for
requests that crash targets. `__main__` runs the soak for a range of seeds.
"""
