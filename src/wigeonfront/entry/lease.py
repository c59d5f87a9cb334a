"""The membership lease of this entry: granted, renewed and got back.

The lease is judged by the monotonic clock from before each call was sent, and a
tenth of the term is kept back, so that this entry always takes it for lapsed before
the service does. A new lease counts once the catalogue has caught up: with the
revision of the entry's own row, which no earlier listing can have reached, and with
what the other entries report.
"""

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.entry.member_calls import MemberRow
from wigeonfront.entry.members import PREFIX
from wigeonfront.platform import (
    Conflict,
    KeyValue,
    Lease,
    LeaseLost,
    Row,
    Stored,
    Unavailable,
    Uncertain,
)

SAFETY = 0.1
"""Share of the term that is kept back: clocks may differ in rate, and calls take
time."""


class MembershipLease:
    """Holds the row of one entry in ``members/``; `step` is called by one task.

    Parameters
    ----------
    name : str
        Of this entry.
    row : MemberRow
    key_value : KeyValue
    clock : Clock
    term : float
        Seconds of the lease.
    """

    def __init__(
        self, name: str, row: MemberRow, key_value: KeyValue, clock: Clock, term: float
    ) -> None:
        self._key = PREFIX + name
        self._row = row
        self._key_value = key_value
        self._clock = clock
        self._term = term
        self._lease = 0
        self._until = clock.monotonic()
        self._revision = 0

    @property
    def held(self) -> bool:
        """Whether the lease has certainly not lapsed."""
        return self._clock.monotonic() < self._until

    @property
    def lease(self) -> int:
        """The lease's number, 0 while there is none."""
        return self._lease

    @property
    def revision(self) -> int:
        """Revision of the row that was written under this lease."""
        return self._revision

    def renew(self) -> Lease | LeaseLost | Unavailable:
        """Renew the lease."""
        asked_at = self._clock.monotonic()
        reply = self._key_value.renew_lease(self._lease)
        if isinstance(reply, Lease):
            self.renewed(asked_at)
        elif isinstance(reply, LeaseLost):
            self.lost()
        return reply

    def renewed(self, asked_at: float) -> None:
        """Note a renewal that was asked for at `asked_at`."""
        self._until = asked_at + self._term * (1 - SAFETY)

    def lost(self) -> None:
        """Note that the service no longer knows the lease."""
        self._lease = 0
        self._until = self._clock.monotonic()

    def join(self) -> Stored | Unavailable | Uncertain:
        """Ask for a lease and write the row under it."""
        asked_at = self._clock.monotonic()
        granted = self._key_value.grant_lease(self._term)
        if not isinstance(granted, Lease):
            return granted
        written = self._write(granted.lease)
        if isinstance(written, Stored):
            self._lease = granted.lease
            self._revision = written.revision
            self.renewed(asked_at)
        return written

    def leave(self) -> None:
        """Say in the row that nothing new is admitted; the lease is kept."""
        self._row = msgspec.structs.replace(self._row, leaving=True)
        if self._lease:
            self._write(self._lease)

    def end(self) -> None:
        """Give the lease back."""
        if self._lease:
            self._until = self._clock.monotonic()
            self._key_value.revoke_lease(self._lease)

    def _write(self, lease: int) -> Stored | Unavailable | Uncertain:
        """Write the row under `lease`; a lost answer is settled by reading back."""
        row = msgspec.structs.replace(self._row, lease=lease)
        written = self._key_value.put(self._key, msgspec.json.encode(row), lease=lease)
        if isinstance(written, Conflict):
            return Unavailable("the lease has lapsed")
        if isinstance(written, Uncertain):
            found = self._key_value.get(self._key)
            if isinstance(found, Row) and _decoded(found.value) == row:
                return Stored(found.revision)
        return written


def _decoded(value: bytes) -> MemberRow | None:
    try:
        return msgspec.json.decode(value, type=MemberRow)
    except msgspec.DecodeError:
        return None
