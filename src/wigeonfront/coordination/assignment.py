"""Which machine may act for which subject: the agreed row, and when it changes.

Pure functions and data; `wigeonfront.coordination.rights` reads and writes the row. A
subject, such as an engine that gets orders or a duty at the platform, has one holder at
a time: the machine that it is pinned to, else one of the holding entries. A change that
takes a subject from one machine to another is written with what was there before, and
settled only once no act of the earlier holder can still arrive.

Examples
--------
>>> all_here = MembershipView(frozenset("ab"), frozenset("ab"))
>>> agreed = next_assignment(None, all_here)
>>> agreed.holder("usage") in {"a", "b"}
True
>>> one_lost = MembershipView(frozenset("b"), frozenset("b"), absent={"a": ABSENT_SECONDS})
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
"""Subjects for which one holding entry is wanted: each confirms its right once for all
that it does at the same moment, and takes its subjects with it when it is lost."""

MIN_HOLDERS = 2
"""Holding entries where any are wanted, so that the loss of one leaves half of the
subjects with a holder."""

ABSENT_SECONDS = 4.0
"""How long a holding entry must be missing before its subjects go to others: a process
that was killed is back sooner."""

PINNED_ABSENT_SECONDS = 25.0
"""The same for a machine that a subject is pinned to: a term of its registration and a
few tries."""

COALESCE_SECONDS = 1.0
"""How long a change gathers that machines cause which start: many start together."""

TERM_SECONDS = 1.0
"""How long a confirmed right holds for an entry: what it does at one moment."""

PINNED_TERM_SECONDS = 20.0
"""The same for a machine that a subject is pinned to: it acts each few seconds."""

FLIGHT_SECONDS = 1.0
"""Longest time from the check of a right until the act has arrived or was reset."""

WRITER_PAUSE_SECONDS = 0.5
"""Pause until the next entry in the writers' order writes a change that is due: many
times what a write takes. Two that write at once cost a call, and nothing else."""


@dataclass(frozen=True)
class Holders:
    """Who acts for which subject.

    Attributes
    ----------
    entries : tuple of str
        Machines that act for the subjects which are not pinned.
    pinned : mapping of str to str
        Machine that a subject is pinned to, by the subject.
    """

    entries: tuple[str, ...] = ()
    pinned: Mapping[str, str] = field(default_factory=dict)

    @cached_property
    def _ring(self) -> HashRing:
        return HashRing(self.entries)

    def holder(self, subject: str) -> str | None:
        """Return the machine that acts for a subject."""
        return self.pinned.get(subject) or self._ring.owner(subject)


@dataclass(frozen=True)
class Assignment:
    """The agreed row.

    Attributes
    ----------
    holders : Holders
    before : Holders or None
        What was agreed before a change that is not settled.
    revision : int
        Of the row, and the fencing token of what is done under it.
    """

    holders: Holders
    before: Holders | None = None
    revision: int = 0

    def holder(self, subject: str) -> str | None:
        """Return the machine that may act for a subject; ``None`` while it moves."""
        now = self.holders.holder(subject)
        if self.before is not None and self.before.holder(subject) != now:
            return None
        return now

    def settle_seconds(self, apart_seconds: float) -> float:
        """Return how long after the change no act of an earlier holder can arrive.

        Parameters
        ----------
        apart_seconds : float
            Time that must lie between the acts of two machines.
        """
        before = self.before or Holders()
        lost_pinned = any(
            self.holders.pinned.get(subject) != name
            for subject, name in before.pinned.items()
        )
        term = PINNED_TERM_SECONDS if lost_pinned else TERM_SECONDS
        return term + apart_seconds + FLIGHT_SECONDS


class _HoldersRow(msgspec.Struct, frozen=True):
    entries: tuple[str, ...] = ()
    pinned: dict[str, str] = {}


class _AssignmentRow(msgspec.Struct, frozen=True, omit_defaults=True):
    entries: tuple[str, ...] = ()
    pinned: dict[str, str] = {}
    before: _HoldersRow | None = None


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the value of the row."""
    holders, before = assignment.holders, assignment.before
    earlier = _HoldersRow(before.entries, dict(before.pinned)) if before else None
    return msgspec.json.encode(
        _AssignmentRow(holders.entries, dict(holders.pinned), earlier)
    )


def decode_assignment(value: bytes, revision: int) -> Assignment | None:
    """Return what the row says, or ``None`` where it is malformed."""
    try:
        wire = msgspec.json.decode(value, type=_AssignmentRow)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    before = wire.before and Holders(wire.before.entries, wire.before.pinned)
    return Assignment(Holders(wire.entries, wire.pinned), before, revision)


@dataclass(frozen=True, slots=True)
class MembershipView:
    """What an entry sees of the processes that may act.

    Attributes
    ----------
    entries : frozenset of str
        Machines whose entries are registered.
    staying : frozenset of str
        Those of them that are not about to leave.
    pinned : mapping of str to str
        Machine that a subject is to be pinned to, by the subject.
    subjects : frozenset of str
        All subjects.
    absent : mapping of str to float
        Seconds for which each holder that is not registered has been missing.
    """

    entries: frozenset[str]
    staying: frozenset[str]
    pinned: Mapping[str, str] = field(default_factory=dict)
    subjects: frozenset[str] = frozenset()
    absent: Mapping[str, float] = field(default_factory=dict)


def next_holders(current: Holders, view: MembershipView) -> Holders:
    """Return who should act, with as little change as can be."""
    pinned = _next_pinned(current.pinned, view)
    alone = len(view.subjects - pinned.keys())
    wanted = wanted_holders(alone, len(view.staying))
    kept = [
        name
        for name in current.entries
        if view.absent.get(name, 0.0) < ABSENT_SECONDS
    ]
    if len(kept) < wanted:
        free = sorted(view.staying - set(kept), key=writer_rank)
        kept += free[: wanted - len(kept)]
    return Holders(tuple(sorted(kept)), pinned)


def wanted_holders(subjects: int, entries: int) -> int:
    """Return the number of holding entries for so many subjects that are not pinned.

    There are always some, since a new subject may come before it is pinned.
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


def next_assignment(current: Assignment | None, view: MembershipView) -> Assignment | None:
    """Return the row that should follow, or ``None`` if nothing is to change.

    A change that is not settled is settled first.
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
    """Return the row of a change once it has settled."""
    return replace(current, before=None)


def coalescing_seconds(current: Assignment | None, after: Assignment) -> float:
    """Return how long a change waits for others that may come with it.

    A holding entry that is lost is replaced at once: it was waited for.
    """
    if current is None or after.holders.pinned != current.holders.pinned:
        return COALESCE_SECONDS
    return 0.0


def writer_rank(name: str) -> tuple[int, str]:
    """Return the place of an entry in the order in which entries write changes."""
    return crc32(name.encode()), name


def writer_pause(me: str, staying: Collection[str]) -> float:
    """Return how long this entry leaves a change that is due to the others, in seconds.

    Parameters
    ----------
    staying : collection of str
        Entries that live.
    """
    before_me = sum(writer_rank(name) < writer_rank(me) for name in staying)
    return before_me * WRITER_PAUSE_SECONDS
