"""Calls between entries: their messages, and how they are sent.

All are short and answered at once. `MemberCalls` is the interface; `HttpMemberCalls`
is the one that the daemon uses.
"""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Annotated, Literal, Protocol, TypeVar

import msgspec

from wigeonfront.entry.configuration import CatalogueRow
from wigeonfront.http import Answer, Pool
from wigeonfront.messages import Message

POLL_PATH = "/peer/poll"
CHANGE_PATH = "/peer/change"
RENEW_PATH = "/peer/renew"

CONNECT_SECONDS = 0.5
FAN_OUT = 16

StandingName = Literal["member", "detached", "fenced"]
Reply = TypeVar("Reply", bound=Message)
Item = TypeVar("Item")
Result = TypeVar("Result")


class MemberRow(Message, frozen=True, kw_only=True):
    """The row of an entry in the key-value service, ``members/<name>``.

    Attributes
    ----------
    address : str
        ``host:port`` for the other entries.
    incarnation : str
        Of the process; a restarted entry has another.
    failure_domain : str
    leaving : bool
        It admits nothing new any more.
    """

    address: str
    incarnation: str
    failure_domain: str = ""
    leaving: bool = False


class Poll(Message, frozen=True, kw_only=True):
    """One entry asks another what it knows, and says what it knows itself.

    Attributes
    ----------
    name, incarnation : str
        Who asks.
    revision : int
        Up to which it knows all writes.
    digest : str
        Of its catalogue.
    after : int
        It wants the rows written later, if the digests differ.
    leaving : bool
        It admits nothing new any more.
    """

    name: str
    incarnation: str
    revision: int = 0
    digest: str = ""
    after: int = 0
    leaving: bool = False


class PollReply(Message, frozen=True, kw_only=True):
    """The answer to a `Poll`.

    Attributes
    ----------
    standing : str
        Of the one that answers.
    in_touch : bool
        The key-value service answered its last call.
    revision, digest
        As in `Poll`.
    age : float
        Seconds since its catalogue was last confirmed.
    rows : list of CatalogueRow
        Empty where the digests are equal.
    """

    name: str
    incarnation: str
    standing: StandingName
    in_touch: bool = True
    revision: int = 0
    digest: str = ""
    age: float = 0.0
    rows: list[CatalogueRow] = msgspec.field(default_factory=list)


class Change(Message, frozen=True, kw_only=True):
    """An entry tells another of a row and asks whether it is in force there.

    Attributes
    ----------
    sender : str
    rows : list of CatalogueRow
        The row, after its last good version where it can't be put in force.
    absent : list of str
        Former members: has any of them polled lately?
    """

    sender: str
    rows: Annotated[list[CatalogueRow], msgspec.Meta(min_length=1)]
    absent: list[str] = msgspec.field(default_factory=list)


class ChangeReply(Message, frozen=True, kw_only=True):
    """The answer to a `Change`.

    Attributes
    ----------
    in_force : bool
        At the entry itself.
    waiting_sides : list of str
        Sides with a session that have not taken it yet.
    polled : dict of str to str
        Those of `absent` that have polled lately, with the digest that each
        said it had.
    digest : str
        Of the catalogue of the one that answers.
    """

    name: str
    incarnation: str
    in_force: bool
    waiting_sides: list[str] = msgspec.field(default_factory=list)
    polled: dict[str, str] = msgspec.field(default_factory=dict)
    digest: str = ""


class Renew(Message, frozen=True, kw_only=True):
    """An entry cut off from the key-value service has its lease renewed."""

    sender: str
    lease: int


class RenewReply(Message, frozen=True, kw_only=True):
    """What the key-value service said; ``unavailable`` if it said nothing."""

    status: Literal["renewed", "lost", "unavailable"]
    ttl: float = 0.0


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No good answer came; the call may have been taken all the same."""

    reason: str


class MemberCalls(Protocol):
    """How one entry calls another."""

    def call(
        self,
        address: str,
        path: str,
        message: Message,
        reply: type[Reply],
        timeout: float,
    ) -> Reply | Unreachable:
        """Send `message` and wait at most `timeout` seconds for the answer."""

    def each(
        self, function: Callable[[Item], Result], items: Iterable[Item]
    ) -> list[Result]:
        """Return `function` of each item, several at a time where that helps."""


class HttpMemberCalls:
    """`MemberCalls` over HTTP, with kept-alive connections to each address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pools: dict[str, Pool] = {}

    def call(
        self,
        address: str,
        path: str,
        message: Message,
        reply: type[Reply],
        timeout: float,
    ) -> Reply | Unreachable:
        """Send `message` and wait at most `timeout` seconds for the answer."""
        pool = self._pool(address)
        answer = pool.call("POST", path, message, timeout=timeout)
        if not isinstance(answer, Answer):
            # The connection may be silent for good, and so those beside it.
            pool.reset()
            return Unreachable(answer.reason)
        if answer.status != 200:
            return Unreachable(f"status {answer.status}")
        try:
            return msgspec.json.decode(answer.body, type=reply)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return Unreachable("malformed")

    def each(
        self, function: Callable[[Item], Result], items: Iterable[Item]
    ) -> list[Result]:
        """Return `function` of each item, several at a time."""
        listed = list(items)
        if len(listed) < 2:
            return [function(item) for item in listed]
        with ThreadPoolExecutor(min(FAN_OUT, len(listed))) as executor:
            return list(executor.map(function, listed))

    def keep_only(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
        with self._lock:
            gone = [each for each in self._pools if each not in addresses]
            pools = [self._pools.pop(each) for each in gone]
        for pool in pools:
            pool.close()

    def _pool(self, address: str) -> Pool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = Pool(address, CONNECT_SECONDS, size=2)
                self._pools[address] = pool
            return pool
