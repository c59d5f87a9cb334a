"""The control parts of an entry, built together: membership and catalogue.

Tasks, each a thread of the entry's supervisor::

    joining       keeps the membership lease and catches up after a lapse
    catalogue     follows the catalogue in the key-value service
    members       follows the members there
    polling       asks other entries for what was missed
"""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from wigeonfront import catalogue as rows
from wigeonfront.clock import Clock
from wigeonfront.coordination.lease import LeaseHolder
from wigeonfront.entry import members
from wigeonfront.entry.configuration import Catalogue
from wigeonfront.entry.confirmation import Confirmation
from wigeonfront.entry.contacts import Contacts, Heard
from wigeonfront.entry.edits import Editor
from wigeonfront.entry.history import History
from wigeonfront.entry.joining import Joining
from wigeonfront.entry.member_calls import MemberCalls, MemberRow
from wigeonfront.entry.member_server import MemberServer
from wigeonfront.entry.members import Member, MemberView
from wigeonfront.entry.membership import Membership
from wigeonfront.entry.peers import Identity
from wigeonfront.entry.polling import Polling
from wigeonfront.entry.renewals import RelayedKeyValue
from wigeonfront.entry.watch import PrefixWatch, WatchTiming
from wigeonfront.platform import KeyValue
from wigeonfront.supervisor import Run

MEMBERS_TIMING = WatchTiming(watch=20.0, listing=180.0, rest=5.0)
"""Members change seldom, and what a silent watch misses is told by polls."""


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """What an entry's control parts are told; times in seconds.

    Attributes
    ----------
    address : str
        ``host:port`` for the other entries.
    failure_domain : str
    lease : float
        Term of the membership lease, and how long a contact counts.
    freshness : float
        Longest time without a confirmed catalogue.
    """

    address: str
    failure_domain: str = ""
    lease: float = 15.0
    freshness: float = 30.0


class Control:
    """Membership and catalogue of one entry.

    Parameters
    ----------
    identity : Identity
    settings : ControlSettings
    key_value : KeyValue
    calls : MemberCalls
        How other entries are called.
    clock : Clock
    on_catalogue : callable
        Called after rows have changed, before the change counts as in force.
    listed : callable
        Returns the names of the entries in the VM list; ``None`` if it has none.
    sides_behind : callable
        Returns this entry's sides that lack the present policy.
    generator : random.Random
        Source of jitter.
    also_listed : sequence of PrefixWatch
        What else is listed anew before a new lease counts.
    """

    def __init__(
        self,
        identity: Identity,
        settings: ControlSettings,
        key_value: KeyValue,
        calls: MemberCalls,
        clock: Clock,
        on_catalogue: Callable[[], None] = lambda: None,
        listed: Callable[[], Iterable[str] | None] = lambda: None,
        sides_behind: Callable[[], list[str]] = list,
        generator: random.Random | None = None,
        also_listed: Sequence[PrefixWatch] = (),
    ) -> None:
        jitter = generator or random.Random()
        self._clock = clock
        self.catalogue = Catalogue(clock, on_catalogue)
        self.view = MemberView(identity.name, clock, listed)
        self.contacts = Contacts(clock, settings.lease)
        self._row = MemberRow(
            address=settings.address,
            incarnation=identity.incarnation,
            failure_domain=settings.failure_domain,
        )
        relay = RelayedKeyValue(
            identity.name, key_value, self.view, self.contacts, calls, jitter
        )
        self.holder = LeaseHolder(
            relay,
            clock,
            members.PREFIX + identity.name,
            msgspec.to_builtins(self._row),
            settings.lease,
            jitter,
        )
        self.membership = Membership(
            self.holder,
            self.view,
            self.contacts,
            self.catalogue,
            clock,
            settings.freshness,
        )
        self.catalogue_watch = PrefixWatch(
            rows.PREFIX,
            self.catalogue,
            key_value,
            clock,
            jitter,
            delay=self.start_delay,
        )
        self.members_watch = PrefixWatch(
            members.PREFIX,
            self.view,
            key_value,
            clock,
            jitter,
            MEMBERS_TIMING,
            self.start_delay,
        )
        self.polling = Polling(
            identity,
            self.view,
            self.contacts,
            self.catalogue,
            calls,
            self.membership,
            clock,
            jitter,
        )
        self.joining = Joining(
            self.holder,
            relay,
            self.membership,
            self.view,
            self.members_watch,
            self.catalogue_watch,
            self.catalogue,
            self.polling,
            jitter,
            also_listed,
        )
        self.confirmation = Confirmation(
            identity,
            self.catalogue,
            self.view,
            self.members_watch.list_now,
            self.contacts,
            calls,
            sides_behind,
            clock,
        )
        self.history = History(key_value, self.catalogue, identity.name, clock, jitter)
        self.editor = Editor(
            self.catalogue,
            key_value,
            self.confirmation,
            self.history,
            lambda: self.membership.standing,
            clock,
        )
        self.server = MemberServer(self.polling, self.confirmation, key_value)

    def tasks(self) -> dict[str, Run]:
        """Return the tasks by name, for a supervisor."""
        return {
            "catalogue": self.catalogue_watch.run,
            "members": self.members_watch.run,
            "polling": self.polling.run,
            "joining": self.joining.run,
        }

    def start_delay(self) -> float:
        """Return a pause that spreads the first calls of entries that start."""
        return self.joining.spread()

    @property
    def starting(self) -> str:
        """Why nothing is admitted yet; empty once the entry has been a member."""
        if not self.catalogue.loaded:
            return "catalogue_not_loaded"
        return "" if self.membership.joined else "joining"

    def describe(self) -> dict[str, Any]:
        """Return membership and catalogue as JSON data, for operators."""
        standing = self.membership.standing
        heard = self.contacts.heard()
        now = self._clock.monotonic()
        return {
            "standing": standing.name,
            "standing_reason": standing.reason,
            "catalogue_revision": self.catalogue.revision,
            "catalogue_newest": self.catalogue.newest,
            "catalogue_digest": self.catalogue.digest,
            "catalogue_age": self.catalogue.age,
            "bad_rows": self.catalogue.bad_rows,
            "members": [
                _described(member, heard.get(member.name), now)
                for member in self.view.present()
            ],
            "former_members": [
                _described(member, heard.get(member.name), now)
                for member in self.view.former()
            ],
        }

    def leave(self) -> None:
        """Say to all that this entry admits nothing new any more."""
        self.membership.leave()
        leaving = msgspec.structs.replace(self._row, leaving=True)
        self.holder.fenced_write(msgspec.to_builtins(leaving))
        # Whoever lists the members after the lease has ended would not see the row.
        self.polling.say_leaving()

    def end(self) -> None:
        """Give the lease back."""
        self.holder.release()


def _described(member: Member, heard: Heard | None, now: float) -> dict[str, Any]:
    described = {
        "name": member.name,
        "address": member.address,
        "failure_domain": member.failure_domain,
        "incarnation": member.incarnation,
        "leaving": member.leaving,
    }
    if heard is not None:
        described["standing"] = heard.reply.standing
        described["catalogue_revision"] = heard.reply.revision
        described["catalogue_digest"] = heard.reply.digest
        described["heard_seconds"] = now - heard.at
    return described
