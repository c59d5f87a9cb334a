"""Renewals of this entry's lease, through another entry where need be."""

import logging
import random

from wigeonfront.entry.contacts import Contacts
from wigeonfront.entry.member_calls import (
    RENEW_PATH,
    MemberCalls,
    Renew,
    RenewReply,
    Unreachable,
)
from wigeonfront.entry.members import Member, MemberView
from wigeonfront.logs import event
from wigeonfront.platform import (
    Absent,
    Changes,
    Conflict,
    KeyValue,
    Lease,
    LeaseLost,
    Listing,
    Row,
    Stored,
    Unavailable,
    Uncertain,
)

logger = logging.getLogger(__name__)

RENEWERS = 2
"""Entries that are asked for one renewal, at most."""

RENEW_TIMEOUT = 2.0


class RelayedKeyValue:
    """`wigeonfront.platform.KeyValue` for the lease holder of one entry.

    A renewal that the service doesn't answer is asked of members that are in touch
    with it. All other calls go to the service alone.

    Parameters
    ----------
    name : str
        Of this entry.
    key_value : KeyValue
    view : MemberView
    contacts : Contacts
    calls : MemberCalls
    generator : random.Random
        Chooses whom to ask.

    Attributes
    ----------
    reachable : bool
        The service itself answered the last lease call.
    lost : bool
        The lease was found to have lapsed and no new one was granted since.
    """

    def __init__(
        self,
        name: str,
        key_value: KeyValue,
        view: MemberView,
        contacts: Contacts,
        calls: MemberCalls,
        generator: random.Random,
    ) -> None:
        self._name = name
        self._key_value = key_value
        self._view = view
        self._contacts = contacts
        self._calls = calls
        self._random = generator
        self.reachable = False
        self.lost = False

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""
        return self._key_value.get(key)

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below `prefix`."""
        return self._key_value.list(prefix)

    def put(
        self, key: str, value: bytes, expected: int | None = None, lease: int = 0
    ) -> Stored | Conflict | Unavailable | Uncertain:
        """Write a key. `expected` is its revision now, 0 for absent, None for any."""
        return self._key_value.put(key, value, expected, lease)

    def delete(
        self, key: str, expected: int | None = None
    ) -> Stored | Conflict | Unavailable | Uncertain:
        """Delete a key."""
        return self._key_value.delete(key, expected)

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` after a revision."""
        return self._key_value.watch(prefix, after, timeout)

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Ask for a lease of `ttl` seconds."""
        reply = self._key_value.grant_lease(ttl)
        self.reachable = isinstance(reply, Lease)
        self.lost = self.lost and not self.reachable
        return reply

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term."""
        reply = self._key_value.renew_lease(lease)
        self.reachable = not isinstance(reply, Unavailable)
        if not self.reachable:
            reply = self._renew_through_others(lease) or reply
        self.lost = isinstance(reply, LeaseLost)
        return reply

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        return self._key_value.revoke_lease(lease)

    def _renew_through_others(self, lease: int) -> Lease | LeaseLost | None:
        for member in self._renewers():
            renew = Renew(sender=self._name, lease=lease)
            reply = self._calls.call(
                member.address, RENEW_PATH, renew, RenewReply, RENEW_TIMEOUT
            )
            if isinstance(reply, Unreachable) or reply.status == "unavailable":
                continue
            event(logger, "renewed_by", peer=member.name, status=reply.status)
            lost = reply.status == "lost"
            return LeaseLost(lease) if lost else Lease(lease, reply.ttl)
        return None

    def _renewers(self) -> tuple[Member, ...]:
        heard = self._contacts.heard()
        in_touch = [
            member
            for member in self._view.present()
            if member.name in heard and heard[member.name].reply.in_touch
        ]
        return tuple(self._random.sample(in_touch, min(RENEWERS, len(in_touch))))
