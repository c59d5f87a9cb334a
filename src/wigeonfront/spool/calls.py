"""Messages between the owners of items and the processes with disks."""

import msgspec

SPOOL_PATH = "/spool"


class SpoolMember(msgspec.Struct, frozen=True):
    """A disk that takes items.

    Attributes
    ----------
    address : str
        ``host:port`` of its process.
    disk : str
        Id of the disk's file; another after the disk was lost.
    """

    address: str
    disk: str


class Append(msgspec.Struct, frozen=True, tag="append"):
    """Take `items` as those from `position` on.

    Attributes
    ----------
    disk : str
    key : str
        What the items belong to.
    fence : int
        Of the writer: the revision under which it owns the key. One writer never
        changes an item, so its calls may arrive twice, late and in any order.
    kept : int
        Position up to which the items are kept elsewhere.
    position : int
    items : tuple of bytes
    """

    disk: str
    key: str
    fence: int
    kept: int
    position: int
    items: tuple[bytes, ...]


class Seal(msgspec.Struct, frozen=True, tag="seal"):
    """Refuse writers with a lower fence from now on, and tell what there is."""

    disk: str
    key: str
    fence: int


class Forget(msgspec.Struct, frozen=True, tag="forget"):
    """Drop the items before a position, which are kept elsewhere; the fence stays."""

    disk: str
    key: str
    fence: int
    position: int


SpoolCall = Append | Seal | Forget


class ListKeys(msgspec.Struct, frozen=True, tag="list_keys"):
    """Tell the keys that begin with `prefix` and hold items, on whatever disk."""

    prefix: str


class Done(msgspec.Struct, frozen=True, tag="done"):
    """It is on the disk."""


class Gap(msgspec.Struct, frozen=True, tag="gap"):
    """Items between those that are kept elsewhere and the position are missing here."""


class Fenced(msgspec.Struct, frozen=True, tag="fenced"):
    """A writer with a higher fence was here."""


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """Another disk, or one that takes nothing."""

    reason: str


class Held(msgspec.Struct, frozen=True, tag="held"):
    """The items that a sealed member holds, from `position` on."""

    position: int
    items: tuple[bytes, ...]


SpoolAnswer = Done | Gap | Fenced | Refused | Held


class Keys(msgspec.Struct, frozen=True, tag="keys"):
    """The keys that were asked for."""

    keys: tuple[str, ...]


SpoolRequest = SpoolCall | ListKeys
SpoolReply = SpoolAnswer | Keys
