"""Writes items to all members of a spool, and reads them back from one of them."""

import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.http.client import Answer
from wigeonfront.http.pools import Pools
from wigeonfront.observability.logs import event
from wigeonfront.spool.calls import (
    SPOOL_PATH,
    SPOOL_RELAY_PATH,
    Append,
    Done,
    Forget,
    Gap,
    Held,
    Keys,
    ListKeys,
    NotReached,
    Recover,
    Refused,
    Seal,
    SpoolCall,
    SpoolMember,
    SpoolReply,
    SpoolRequest,
)

logger = logging.getLogger(__name__)

OK = 200
CONNECT_SECONDS = 0.25
ANSWER_SECONDS = 0.5
"""Timeout of a call to a member: many times what a slow disk takes to sync."""

FAILED_MEMBER_PAUSE_SECONDS = 0.5
"""Pause before a member that did not answer is called again. It equals the timeout of
a call, so that a silent member delays its callers half of the time at most."""


MAX_RELAYS = 2
"""Largest number of processes that are asked to call the members in this one's place,
at each attempt."""

RELAY_SECONDS = 2.0
"""Timeout of a call to such a process: the time that it needs for two silent members,
and some more."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """The items of a member when it was sealed, from `position` on."""

    position: int = 0
    items: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Unreached:
    """No member has answered, so it is unknown whether there are items.

    Attributes
    ----------
    relays : int
        Number of other processes that were asked and have not reached a member either.
    reason : str
        What each member answered, as ``address: reason``.
    """

    relays: int = 0
    reason: str = ""


def _no_relays() -> Sequence[str]:
    return ()


class SpoolClient:
    """Calls the members of spools.

    Parameters
    ----------
    clock : Clock
    relays : callable
        Returns the addresses of the processes that may reach members which this process
        does not reach.
    """

    def __init__(
        self, clock: Clock, relays: Callable[[], Sequence[str]] = _no_relays
    ) -> None:
        self._clock = clock
        self._relays = relays
        self._pools = Pools(CONNECT_SECONDS)
        # Until when addresses are not called, and why, as the clock's monotonic time.
        self._avoided: dict[str, tuple[float, str]] = {}

    def append(
        self,
        members: Sequence[SpoolMember],
        key: str,
        fence: int,
        kept: int,
        position: int,
        items: Sequence[bytes],
    ) -> bool:
        """Write the items from `position` on; return whether all members have them.

        Parameters
        ----------
        kept : int
            Position up to which the items are stored elsewhere.
        items : sequence of bytes
            All items from `kept` on, also those before `position`.
        """
        new = tuple(items[position - kept :])
        for member in members:
            call = Append(member.disk, key, fence, kept, position, new)
            answer = self._call(member, call)
            if isinstance(answer, Gap):
                full_append = Append(member.disk, key, fence, kept, kept, tuple(items))
                answer = self._call(member, full_append)
            if not isinstance(answer, Done):
                return False
        return True

    def recover(
        self, members: Sequence[SpoolMember], key: str, fence: int
    ) -> Recovered | Unreached:
        """Seal a member against earlier writers, and return what it holds.

        A member that this process does not reach is called through others.
        """
        found = self.recover_directly(members, key, fence)
        if isinstance(found, Recovered):
            return found
        answered = self._recover_through_relays(Recover(tuple(members), key, fence))
        if isinstance(answered, Recovered):
            return answered
        return Unreached(answered, found.reason)

    def recover_directly(
        self, members: Sequence[SpoolMember], key: str, fence: int
    ) -> Recovered | Unreached:
        """Do the same without other processes."""
        if not members:
            return Recovered()
        reasons = []
        for member in members:
            answer = self._call(member, Seal(member.disk, key, fence))
            if isinstance(answer, Held):
                return Recovered(answer.position, answer.items)
            reason = getattr(answer, "reason", type(answer).__name__)
            reasons.append(f"{member.address}: {reason}")
        return Unreached(reason="; ".join(reasons))

    def _recover_through_relays(self, request: Recover) -> Recovered | int:
        """Return the items, or the number of relays that answered without them."""
        addresses = [address for address in self._relays() if not self._avoids(address)]
        answered = 0
        for address in random.sample(addresses, min(MAX_RELAYS, len(addresses))):
            answer = self._ask(address, request, SPOOL_RELAY_PATH, RELAY_SECONDS)
            event(
                logger,
                "spool_relayed",
                key=request.key,
                fence=request.fence,
                relay=address,
                answer=type(answer).__name__,
                reason=getattr(answer, "reason", ""),
            )
            if isinstance(answer, Held):
                return Recovered(answer.position, answer.items)
            answered += isinstance(answer, NotReached)
        return answered

    def forget(
        self, members: Sequence[SpoolMember], key: str, fence: int, position: int
    ) -> None:
        """Let the members drop the items before `position`, now stored elsewhere."""
        for member in members:
            self._call(member, Forget(member.disk, key, fence, position))

    def keys(self, address: str, prefix: str) -> tuple[str, ...] | Unreached:
        """Return the keys of one disk that begin with `prefix` and have items."""
        if self._avoids(address):
            return Unreached()
        answer = self._ask(address, ListKeys(prefix))
        if isinstance(answer, Keys):
            return answer.keys
        reason = getattr(answer, "reason", "")
        event(logger, "spool_not_listed", member=address, reason=reason)
        return Unreached()

    def _ask(
        self,
        address: str,
        request: SpoolRequest | Recover,
        path: str = SPOOL_PATH,
        seconds: float = ANSWER_SECONDS,
    ) -> SpoolReply:
        body = msgspec.msgpack.encode(request)
        answer = _decoded(self._pools.post(address, path, body, seconds))
        if isinstance(answer, Refused):
            until = self._clock.monotonic() + FAILED_MEMBER_PAUSE_SECONDS
            self._avoided[address] = (until, answer.reason)
        return answer

    def _avoids(self, address: str) -> bool:
        until, _ = self._avoided.get(address, (0.0, ""))
        return self._clock.monotonic() < until

    def _call(self, member: SpoolMember, call: SpoolCall) -> SpoolReply:
        if self._avoids(member.address):
            _, reason = self._avoided[member.address]
            return Refused(f"avoided, {reason}")
        now = self._clock.monotonic()
        answer = self._ask(member.address, call)
        event(
            logger,
            "spool_called",
            call=type(call).__name__,
            key=call.key,
            fence=call.fence,
            member=member.address,
            answer=type(answer).__name__,
            reason=getattr(answer, "reason", ""),
            seconds=self._clock.monotonic() - now,
        )
        return answer


def _decoded(reply: object) -> SpoolReply:
    if not isinstance(reply, Answer):
        return Refused(getattr(reply, "reason", "lost"))
    if reply.status != OK:
        return Refused(f"status {reply.status}")
    try:
        return msgspec.msgpack.decode(reply.body, type=SpoolReply)
    except msgspec.DecodeError as error:
        return Refused(f"malformed: {error}")
