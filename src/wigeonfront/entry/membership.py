"""Whether this entry may admit rollouts and take catalogue edits.

An entry is a *member* while it holds its lease and has caught up with the catalogue
since it got it. When the key-value service is out of reach the lease lapses; the
entry is then *detached* and goes on with rollouts as long as it is in touch with
most entries. Otherwise it is *fenced*: it admits no rollouts and takes no edits.
"""

import logging
import threading
from dataclasses import dataclass
from typing import Protocol

from wigeonfront.clock import Clock
from wigeonfront.entry.configuration import Catalogue
from wigeonfront.entry.contacts import Contacts
from wigeonfront.entry.member_calls import StandingName
from wigeonfront.entry.members import MemberView
from wigeonfront.logs import event
from wigeonfront.messages import WorkClass
from wigeonfront.outcomes import NotRun

logger = logging.getLogger(__name__)

RETRY_SECONDS = 1.0
JUMP_SECONDS = 2.0
"""By so much may the machine's two clocks move apart between two renewals."""


@dataclass(frozen=True, slots=True)
class Standing:
    """What an entry may do, and why.

    Attributes
    ----------
    name : {"member", "detached", "fenced"}
    reason : str
        A short machine-readable word.
    """

    name: StandingName
    reason: str

    @property
    def admits_rollouts(self) -> bool:
        """Whether new rollouts are admitted."""
        return self.name != "fenced"


class HeldLease(Protocol):
    """What is asked of the lease."""

    def check(self) -> bool:
        """Tell whether the lease has certainly not lapsed, by this entry's clock."""


class Membership:
    """The standing of this entry; all methods may be called from any thread.

    Parameters
    ----------
    lease : HeldLease
    view : MemberView
    contacts : Contacts
    catalogue : Catalogue
    clock : Clock
    freshness_seconds : float
        Longest time without a confirmed catalogue.
    """

    def __init__(
        self,
        lease: HeldLease,
        view: MemberView,
        contacts: Contacts,
        catalogue: Catalogue,
        clock: Clock,
        freshness_seconds: float,
    ) -> None:
        self._lease = lease
        self._view = view
        self._contacts = contacts
        self._catalogue = catalogue
        self._clock = clock
        self._freshness_seconds = freshness_seconds
        self._lock = threading.Lock()
        self._joined = False
        self._caught_up = False
        self._cut_off = False
        self._in_touch = False
        self._leaving = False
        self._replaced = False
        self._logged = Standing("fenced", "starting")
        self._offset = self._clock_offset()

    @property
    def standing(self) -> Standing:
        """What this entry may do now."""
        if self._replaced:
            return Standing("fenced", "replaced")
        held = self._lease.check()
        if held and self._clock_jumped():
            return Standing("fenced", "clock_jump")
        if held and self._caught_up:
            return self._fresh(self._catalogue.age, "member", "lease")
        if held and not self._cut_off:
            return Standing("fenced", "catching_up")
        if not self._cut_off:
            return Standing("fenced", "lease_lapsed")
        since = self._contacts.majority_since(self._view.electorate())
        if since is None:
            return Standing("fenced", "cut_off")
        age = min(self._clock.monotonic() - since, self._catalogue.age)
        return self._fresh(age, "detached", "in_touch_with_most")

    @property
    def joined(self) -> bool:
        """Whether the entry has been a member since it started."""
        return self._joined

    @property
    def behind(self) -> bool:
        """Whether the catalogue must catch up before the lease counts."""
        return not self._caught_up

    @property
    def cut_off(self) -> bool:
        """Whether the key-value service stopped answering while a member."""
        return self._cut_off

    @property
    def in_touch(self) -> bool:
        """Whether the key-value service answered its last lease call."""
        return self._in_touch

    @property
    def leaving(self) -> bool:
        """Whether the entry admits nothing new any more."""
        return self._leaving

    def refusal(self, work_class: WorkClass) -> NotRun | None:
        """Return why new work of a class is refused; ``None`` if it may come in."""
        if work_class != "rollout":
            return None
        standing = self.standing
        if standing.admits_rollouts:
            return None
        return NotRun(standing.reason, RETRY_SECONDS)

    def caught_up(self) -> None:
        """Note that the catalogue has caught up since the lease was granted."""
        self._note(joined=True, caught_up=True, cut_off=False)

    def lapsed(self) -> None:
        """Note that the lease is gone, or that a new one was granted."""
        self._note(caught_up=False)

    def replaced(self) -> None:
        """Note that another process has taken this entry's row for good."""
        self._note(replaced=True)

    def renewed(self, in_touch: bool) -> None:
        """Note a renewal; not `in_touch` if another entry had to ask for it."""
        self._offset = self._clock_offset()
        self._note(in_touch=in_touch, cut_off=self._cut_off and not self._caught_up)

    def unanswered(self) -> None:
        """Note that a renewal was not answered: a lapse will not be by a pause."""
        self._note(in_touch=False, cut_off=self._caught_up or self._cut_off)

    def observe(self) -> None:
        """Log a change of standing that came with time alone."""
        self._note()

    def leave(self) -> None:
        """Note that the entry admits nothing new any more."""
        self._leaving = True

    def _clock_offset(self) -> float:
        return self._clock.time() - self._clock.monotonic()

    def _clock_jumped(self) -> bool:
        """Tell whether the two clocks moved apart since the last renewal.

        The monotonic clock of a VM that was suspended may have stood still.
        """
        return abs(self._clock_offset() - self._offset) > JUMP_SECONDS

    def _fresh(self, age: float, name: StandingName, reason: str) -> Standing:
        if age > self._freshness_seconds:
            return Standing("fenced", "catalogue_not_fresh")
        return Standing(name, reason)

    def _note(self, **flags: bool) -> None:
        with self._lock:
            for flag, value in flags.items():
                setattr(self, "_" + flag, value)
            before, self._logged = self._logged, self.standing
            after = self._logged
        if after != before:
            event(logger, "standing", standing=after.name, reason=after.reason)
