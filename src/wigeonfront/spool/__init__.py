"""A spool: a log of items on a few disks, kept until the store answers again.

The package starts no tasks itself. `node.storage` serves a disk, and `rollout.spooling`
appends items and drops them. `contents` holds the items of a disk and decides which
calls it accepts, `file` makes them durable, `calls` defines the messages, and `server`
and `client` are the two ends of a call.

Each writer has a *fence*, a fencing token: the revision of the row that makes it the
owner. A writer appends to all members. The next owner seals one of them with its own,
higher fence and reads the items there. A sealed member refuses earlier owners. The next
owner therefore finds every item that all members had accepted. Of the items that are
not stored elsewhere, only those that all members have accepted are shown to readers.
"""

from wigeonfront.spool.calls import SpoolMember
from wigeonfront.spool.client import Recovered, SpoolClient, Unreached

__all__ = ["Recovered", "SpoolClient", "SpoolMember", "Unreached"]
