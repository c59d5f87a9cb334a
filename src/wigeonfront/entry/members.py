"""The entries that are members, as the key-value service tells.

A member's row is bound to its lease. A row that goes without having said that its
entry is leaving makes a *former* member: nobody knows yet whether that entry has
stopped, is paused, or goes on beyond a cut. Former members count in majorities
until they come back or the VM list no longer has them.
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.entry.member_calls import MemberRow
from wigeonfront.logs import event
from wigeonfront.platform import Changes, Listing

logger = logging.getLogger(__name__)

PREFIX = "members/"
FORMER_SECONDS = 86_400.0
MAX_FORMER = 1000


@dataclass(frozen=True, slots=True)
class Member:
    """An entry that is a member, or was one."""

    name: str
    address: str
    incarnation: str
    failure_domain: str
    revision: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class _Former:
    member: Member
    since: float


class MemberView:
    """The other members and the former ones; for `PrefixWatch` to follow.

    Parameters
    ----------
    own_name : str
        Of this entry, which is left out.
    clock : Clock
    listed : callable
        Returns the names of the entries in the VM list; ``None`` if it has none.
    """

    def __init__(
        self,
        own_name: str,
        clock: Clock,
        listed: Callable[[], Iterable[str] | None] = lambda: None,
    ) -> None:
        self._own_name = own_name
        self._clock = clock
        self._listed = listed
        self._lock = threading.Lock()
        self._present: dict[str, Member] = {}
        self._former: dict[str, _Former] = {}
        self._revision = 0
        self._loaded = False

    @property
    def revision(self) -> int:
        """Revision up to which all writes are known."""
        return self._revision

    @property
    def loaded(self) -> bool:
        """Whether all members were listed at least once."""
        return self._loaded

    @property
    def listed(self) -> int:
        """How many entries the VM list has; 0 if it is unknown."""
        return len(list(self._listed() or ()))

    def present(self) -> list[Member]:
        """Return the other members, by name."""
        with self._lock:
            return sorted(self._present.values(), key=lambda member: member.name)

    def former(self) -> list[Member]:
        """Return the former members that may still run, by name."""
        listed = self._listed()
        with self._lock:
            self._forget_former(None if listed is None else set(listed))
            former = [each.member for each in self._former.values()]
        return sorted(former, key=lambda member: member.name)

    def electorate(self) -> int:
        """Return how many entries a majority is counted from, this one included."""
        with self._lock:
            others = sum(not member.leaving for member in self._present.values())
            return 1 + others + len(self._former)

    def left(self, name: str) -> None:
        """Note that an entry said itself that it leaves."""
        with self._lock:
            self._former.pop(name, None)
            member = self._present.get(name)
            if member is not None:
                self._present[name] = replace(member, leaving=True)

    def take_listing(self, listing: Listing) -> None:
        """Take all rows; those not listed have lapsed."""
        listed = {_name(row.key) for row in listing.rows}
        with self._lock:
            if listing.revision < self._revision:
                return
            for row in listing.rows:
                self._write(_name(row.key), row.value, row.revision)
            for name in [name for name in self._present if name not in listed]:
                self._write(name, None, listing.revision)
            self._revision = listing.revision
            self._loaded = True

    def take_changes(self, changes: Changes) -> None:
        """Take what a watch saw."""
        with self._lock:
            for change in changes.changes:
                # A listing made meanwhile may have gone beyond this change.
                if change.revision > self._revision:
                    self._write(_name(change.key), change.value, change.revision)
            self._revision = max(self._revision, changes.revision)

    def _write(self, name: str, value: bytes | None, revision: int) -> None:
        known = self._present.get(name)
        if name == self._own_name or (known and revision <= known.revision):
            return
        row = None if value is None else _decoded(value)
        if row is not None:
            self._former.pop(name, None)
            self._present[name] = Member(
                name,
                row.address,
                row.incarnation,
                row.failure_domain,
                revision,
                row.leaving,
            )
            event(logger, "member", entry=name, address=row.address, revision=revision)
            return
        gone = self._present.pop(name, None)
        if gone is not None and not gone.leaving:
            self._former[name] = _Former(gone, self._clock.monotonic())
        event(logger, "member_gone", entry=name, revision=revision)

    def _forget_former(self, listed: set[str] | None) -> None:
        now = self._clock.monotonic()
        for name, former in list(self._former.items()):
            over = now - former.since > FORMER_SECONDS
            # A list without this entry itself doesn't speak of entries.
            unlisted = listed is not None and self._own_name in listed
            if over or (unlisted and name not in listed):
                del self._former[name]
        while len(self._former) > MAX_FORMER:
            del self._former[next(iter(self._former))]


def _name(key: str) -> str:
    return key.removeprefix(PREFIX)


def _decoded(value: bytes) -> MemberRow | None:
    try:
        return msgspec.json.decode(value, type=MemberRow)
    except msgspec.DecodeError:
        return None
