"""The processes that run on the users' platform: entry, side and storage.

Each role is a class that wires the parts together and whose `start` starts the tasks
under a supervisor. `process` runs one of them until it is told to stop.
"""

from wigeonfront.node.settings import Bounds, NodeSettings

__all__ = ["Bounds", "NodeSettings"]
