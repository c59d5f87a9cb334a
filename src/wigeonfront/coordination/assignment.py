"""The assignment of subjects to machines, and the rules by which it changes.

This module has pure functions and data only; `wigeonfront.coordination.rights` reads
and writes the row that holds the assignment. A subject is something that one machine
at a time may act for, such as an engine that receives orders or a duty towards the
platform. Its holder is the machine that it is pinned to, or else one of the holding
entries. A change that moves a subject from one machine to another is written together
with the previous holders, and it is settled only after the last time at which an act
of the previous holder can arrive.

Examples
--------
>>> both = MembershipView(frozenset("ab"), frozenset("ab"))
>>> agreed = next_assignment(None, both)
>>> agreed.holder("usage") in {"a", "b"}
True
>>> only_b = frozenset("b")
>>> one_lost = MembershipView(only_b, only_b, absent={"a": ABSENT_SECONDS})
>>> moving = next_assignment(agreed, one_lost)
>>> moving.holders.entries
('b',)
>>> settled(moving).holder("usage")
'b'
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from functools import cached_property
from zlib import crc32

import msgspec

from wigeonfront.coordination.ring import HashRing

SUBJECTS_PER_HOLDER = 4
"""Number of subjects that are not pinned for each holding entry. A holder confirms its
right once for all that it does at the same moment, so few holders cost few reads; but
all subjects of a holder are without one when it is lost."""

MIN_HOLDERS = 2
"""Lowest number of holding entries while there are that many entries, so that half of
the subjects keep their holder when one is lost."""

ABSENT_SECONDS = 4.0
"""Time for which a holding entry must be missing before its subjects move to other
entries. A process that was killed restarts sooner than that."""

PINNED_ABSENT_SECONDS = 25.0
"""Time for which a machine that a subject is pinned to must be missing before the
subject moves: one term of the machine's registration and a few retries."""

COALESCE_SECONDS = 1.0
"""Delay of a change of pinned subjects, or of the first assignment, in which further
such changes are coalesced: many machines start at the same time."""

TERM_SECONDS = 1.0
"""Time for which a confirmed right is valid for an entry, which confirms it once for
all acts of the same moment."""

PINNED_TERM_SECONDS = 20.0
"""Time for which a confirmed right is valid for a machine that a subject is pinned to,
which acts every few seconds."""

FLIGHT_SECONDS = 1.0
"""Longest time from the check of a right until the act has arrived or its connection
was reset."""

WRITER_PAUSE_SECONDS = 0.5
"""Time that each entry leaves to the one before it in the writers' order to write a
change that is due. It is many times the duration of a write. Two entries that write at
the same time cost one extra store call and nothing else."""


@dataclass(frozen=True)
class Holders:
    """The machines that act for subjects.

    Attributes
    ----------
    entries : tuple of str
        Names of the machines among which the subjects that are not pinned are divided.
    pinned : mapping of str to str
        Name of the machine that a subject is pinned to, by subject.
    """

    entries: tuple[str, ...] = ()
    pinned: Mapping[str, str] = field(default_factory=dict)

    @cached_property
    def _ring(self) -> HashRing:
        return HashRing(self.entries)

    def holder(self, subject: str) -> str | None:
        """Return the name of the machine that acts for a subject, or ``None``."""
        return self.pinned.get(subject) or self._ring.owner(subject)


@dataclass(frozen=True)
class Assignment:
    """The agreed assignment, as one row of the store holds it.

    Attributes
    ----------
    holders : Holders
    before : Holders or None
        Holders before a change that is not settled yet.
    revision : int
        Revision of the row, which is also the fencing token of all acts under this
        assignment.
    """

    holders: Holders
    before: Holders | None = None
    revision: int = 0

    def holder(self, subject: str) -> str | None:
        """Return the name of the machine that may act for a subject.

        ``None`` while the subject moves from one machine to another.
        """
        now = self.holders.holder(subject)
        if self.before is not None and self.before.holder(subject) != now:
            return None
        return now

    def settle_seconds(self, separation_seconds: float) -> float:
        """Return the time that a change waits until it is settled.

        The wait covers the term of a right that the previous holder confirmed just
        before the change, the time for which an act may be in flight, and
        `separation_seconds`.

        Parameters
        ----------
        separation_seconds : float
            Shortest time that must lie between the acts of two machines.

        Returns
        -------
        float
            In seconds.
        """
        before = self.before or Holders()
        pinned_holder_lost = any(
            self.holders.pinned.get(subject) != name
            for subject, name in before.pinned.items()
        )
        term = PINNED_TERM_SECONDS if pinned_holder_lost else TERM_SECONDS
        return term + separation_seconds + FLIGHT_SECONDS


class _HoldersRow(msgspec.Struct, frozen=True):
    entries: tuple[str, ...] = ()
    pinned: dict[str, str] = {}


class _AssignmentRow(msgspec.Struct, frozen=True, omit_defaults=True):
    entries: tuple[str, ...] = ()
    pinned: dict[str, str] = {}
    before: _HoldersRow | None = None


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the value of the row that holds an assignment."""
    holders, before = assignment.holders, assignment.before
    before_row = _HoldersRow(before.entries, dict(before.pinned)) if before else None
    return msgspec.json.encode(
        _AssignmentRow(holders.entries, dict(holders.pinned), before_row)
    )


def decode_assignment(value: bytes, revision: int) -> Assignment | None:
    """Return the assignment that a row holds, or ``None`` where it is malformed."""
    try:
        decoded = msgspec.json.decode(value, type=_AssignmentRow)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    before = decoded.before and Holders(decoded.before.entries, decoded.before.pinned)
    return Assignment(Holders(decoded.entries, decoded.pinned), before, revision)


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The processes that may act and the subjects, as one entry knows them.

    Attributes
    ----------
    entries : frozenset of str
        Names of the machines whose entries are registered.
    staying : frozenset of str
        Names of those entries that are not about to leave.
    pinned : mapping of str to str
        Name of the machine that a subject is to be pinned to, by subject.
    subjects : frozenset of str
        All subjects.
    absent : mapping of str to float
        Seconds for which each holder that is not registered has been missing, by name.
    """

    entries: frozenset[str]
    staying: frozenset[str]
    pinned: Mapping[str, str] = field(default_factory=dict)
    subjects: frozenset[str] = frozenset()
    absent: Mapping[str, float] = field(default_factory=dict)


def next_holders(current: Holders, view: MembershipView) -> Holders:
    """Return the holders that should follow, with as few changes as possible."""
    pinned = _next_pinned(current.pinned, view)
    unpinned = len(view.subjects - pinned.keys())
    wanted = wanted_holders(unpinned, len(view.staying))
    kept = [
        name for name in current.entries if view.absent.get(name, 0.0) < ABSENT_SECONDS
    ]
    if len(kept) < wanted:
        candidates = sorted(view.staying - set(kept), key=writer_rank)
        kept += candidates[: wanted - len(kept)]
    return Holders(tuple(sorted(kept)), pinned)


def wanted_holders(subjects: int, entries: int) -> int:
    """Return the number of holding entries that are wanted.

    Even without subjects there are holders, since a new subject may appear before it is
    pinned.

    Parameters
    ----------
    subjects : int
        Number of subjects that are not pinned.
    entries : int
        Number of entries that may become holders.
    """
    wanted = max(MIN_HOLDERS, -(-subjects // SUBJECTS_PER_HOLDER))
    return min(wanted, entries)


def _next_pinned(current: Mapping[str, str], view: MembershipView) -> dict[str, str]:
    kept = {
        subject: name
        for subject, name in current.items()
        if view.absent.get(name, 0.0) < PINNED_ABSENT_SECONDS
    }
    return kept | dict(view.pinned)


def next_assignment(
    current: Assignment | None, view: MembershipView
) -> Assignment | None:
    """Return the assignment that should follow, or ``None`` if nothing is to change.

    No change follows one that is not settled yet.
    """
    if current is None:
        first = next_holders(Holders(), view)
        return Assignment(first) if first.entries else None
    if current.before is not None:
        return None
    after = next_holders(current.holders, view)
    if after == current.holders:
        return None
    return Assignment(after, before=current.holders)


def settled(current: Assignment) -> Assignment:
    """Return the assignment that settles a change."""
    return replace(current, before=None)


def coalescing_seconds(current: Assignment | None, after: Assignment) -> float:
    """Return the delay in seconds in which further changes are coalesced with this one.

    A holding entry that is lost is replaced without a delay, as its absence was waited
    out before.
    """
    if current is None or after.holders.pinned != current.holders.pinned:
        return COALESCE_SECONDS
    return 0.0


def writer_rank(name: str) -> tuple[int, str]:
    """Return the sort key of an entry in the order in which entries write changes."""
    return crc32(name.encode()), name


def writer_pause(unscoped_name: str, staying: Collection[str]) -> float:
    """Return for how many seconds an entry leaves a due change to other writers.

    Parameters
    ----------
    unscoped_name : str
        Name of the entry.
    staying : collection of str
        Names of the live entries that are not about to leave.
    """
    earlier = sum(writer_rank(name) < writer_rank(unscoped_name) for name in staying)
    return earlier * WRITER_PAUSE_SECONDS
