"""Messages between the owners of items and the storage processes."""

import msgspec

SPOOL_PATH = "/spool"
SPOOL_RELAY_PATH = "/spool-relay"


class SpoolMember(msgspec.Struct, frozen=True):
    """A member of a spool: a disk that accepts items.

    Attributes
    ----------
    address : str
        ``host:port`` of the storage process.
    disk : str
        Id of the spool file on the disk. A disk that was lost comes back with
        another id.
    """

    address: str
    disk: str


class Append(msgspec.Struct, frozen=True, tag="append"):
    """Append `items` at `position`.

    Attributes
    ----------
    disk : str
    key : str
        Name of the log that the items belong to.
    fence : int
        Fencing token of the writer: the revision under which it owns the key. One
        writer never changes an item, so its calls are idempotent and may arrive twice,
        late and in any order.
    kept : int
        Position up to which the items are stored elsewhere.
    position : int
        Position of the first of `items`.
    items : tuple of bytes
    """

    disk: str
    key: str
    fence: int
    kept: int
    position: int
    items: tuple[bytes, ...]


class Seal(msgspec.Struct, frozen=True, tag="seal"):
    """Refuse writers with a lower fence from now on, and return the items."""

    disk: str
    key: str
    fence: int


class Forget(msgspec.Struct, frozen=True, tag="forget"):
    """Drop the items before a position, which are stored elsewhere; keep the fence."""

    disk: str
    key: str
    fence: int
    position: int


SpoolCall = Append | Seal | Forget


class ListKeys(msgspec.Struct, frozen=True, tag="list_keys"):
    """Return the keys with `prefix` that have items, whatever the id of the disk is."""

    prefix: str


class Recover(msgspec.Struct, frozen=True, tag="recover"):
    """Seal one of the members in the caller's place, and return the items."""

    members: tuple[SpoolMember, ...]
    key: str
    fence: int


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The call is durable on the disk."""


class Gap(msgspec.Struct, frozen=True, tag="gap"):
    """Items between those that are stored elsewhere and the position are missing."""


class Fenced(msgspec.Struct, frozen=True, tag="fenced"):
    """The call was refused: a writer with a higher fence has called before."""


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The call was refused: it names another disk, or the disk accepts no writes."""

    reason: str


class Held(msgspec.Struct, frozen=True, tag="held"):
    """The items that a sealed member holds, from `position` on."""

    position: int
    items: tuple[bytes, ...]


SpoolAnswer = Done | Gap | Fenced | Refused | Held


class NotReached(msgspec.Struct, frozen=True, tag="not_reached"):
    """A relay has not reached a member either."""


class Keys(msgspec.Struct, frozen=True, tag="keys"):
    """The keys that a `ListKeys` request asked for."""

    keys: tuple[str, ...]


SpoolRequest = SpoolCall | ListKeys
SpoolReply = SpoolAnswer | Keys | NotReached
