"""Notices that the connection of an open call has gone silent.

While a call is open, its entry is asked on new connections how the call stands. The
call is given up, and its connection closed, when

- the entry says that it has answered, and no byte arrives within a grace time;
- the entry doesn't know the call, and no byte arrives within a grace time;
- several new connections in a row bring no answer.

Behind a balancer the question may meet another entry than the call did. An entry
that doesn't know the call is then believed only if the call was seen there, or once
every entry that was met lately behind this address has said so.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from wigeonfront.client.connection import Connection
from wigeonfront.client.entries import Deadline, Entry
from wigeonfront.client.refusal import decode
from wigeonfront.clock import Clock
from wigeonfront.http import Answer, Lost
from wigeonfront.messages import ProgressReply

CHECK_SECONDS = 1.0
ASK_SECONDS = 1.0
ANSWER_GRACE_SECONDS = 1.0
LONGEST_GRACE_SECONDS = 30.0
SILENT_QUESTIONS = 3

TIMED_OUT = "timeout"
CONNECTION_SILENT = "connection_silent"
ENTRY_SILENT = "entry_silent"


@dataclass(frozen=True, slots=True)
class LotProgress:
    """How far a Lot is.

    Attributes
    ----------
    submission : int
    finished, missing : int
        Samples.
    """

    submission: int
    finished: int
    missing: int


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """How an open call is watched; times in seconds.

    Attributes
    ----------
    check_seconds : float
        Between two questions.
    ask_seconds : float
        Longest wait for the answer to one question.
    grace_seconds : float
        From the entry's word that the call has ended to giving it up.
    silent_questions : int
        Questions in a row without an answer, after which the call is given up.
    """

    check_seconds: float = CHECK_SECONDS
    ask_seconds: float = ASK_SECONDS
    grace_seconds: float = ANSWER_GRACE_SECONDS
    silent_questions: int = SILENT_QUESTIONS

    @property
    def slower(self) -> "WatchSettings":
        """The same with twice the grace, as for a body that arrives slowly."""
        grace = min(LONGEST_GRACE_SECONDS, 2 * self.grace_seconds)
        return replace(self, grace_seconds=grace)


@dataclass(slots=True)
class _Seen:
    """What the questions about one call have brought."""

    holder: str = ""
    unknown_at: set[str] = field(default_factory=set)
    silent: int = 0


class CallWatch:
    """Waits for the answer to one open call.

    Parameters
    ----------
    entry : Entry
        Where the call was sent.
    path : str
        Where its progress is asked.
    settings : WatchSettings
    clock : Clock
    told : callable, optional
        Told of each answer that says ``in_progress``.
    """

    def __init__(
        self,
        entry: Entry,
        path: str,
        settings: WatchSettings,
        clock: Clock,
        told: Callable[[ProgressReply], None] = lambda reply: None,
    ) -> None:
        self._entry = entry
        self._path = path
        self._settings = settings
        self._clock = clock
        self._told = told
        self._seen = _Seen()

    def answer(self, call: Connection, seconds: float) -> Answer | Lost:
        """Return the answer to `call`, or close it and say why.

        Parameters
        ----------
        call : Connection
            The call has been sent on it.
        seconds : float
            Longest wait.
        """
        deadline = Deadline(self._clock, seconds)
        reason = ""
        while not reason:
            if call.wait(min(self._settings.check_seconds, deadline.remaining)):
                return call.receive()
            reason = self._reason_to_give_up(deadline)
        grace = min(self._settings.grace_seconds, deadline.remaining)
        if reason == CONNECTION_SILENT and call.wait(grace):
            return call.receive()
        return _give_up(call, reason)

    def _reason_to_give_up(self, deadline: Deadline) -> str:
        """Ask how the call stands; return an empty string to wait on."""
        if deadline.remaining <= 0:
            return TIMED_OUT
        if self._has_ended(min(self._settings.ask_seconds, deadline.remaining)):
            return CONNECTION_SILENT
        is_silent = self._seen.silent >= self._settings.silent_questions
        return ENTRY_SILENT if is_silent else ""

    def _has_ended(self, timeout: float) -> bool:
        """Ask once; return whether the entry has ended the call or never had it."""
        answer = self._entry.call("GET", self._path, None, timeout)
        if not isinstance(answer, Answer):
            self._seen.silent += 1
            return False
        self._seen.silent = 0
        reply = decode(answer.body, ProgressReply)
        return reply is not None and self._judge(reply)

    def _judge(self, reply: ProgressReply) -> bool:
        self._entry.names.append(reply.entry)
        if reply.status == "in_progress":
            self._seen.holder = reply.entry
            self._told(reply)
            return False
        if reply.status == "answered":
            return True
        if self._seen.holder:
            return reply.entry == self._seen.holder
        self._seen.unknown_at.add(reply.entry)
        return self._seen.unknown_at.issuperset(self._entry.names)


def _give_up(call: Connection, reason: str) -> Lost:
    call.close()
    return Lost(reason)


def wait_unwatched(call: Connection, seconds: float) -> Answer | Lost:
    """Return the answer to a call about which nothing can be asked."""
    if call.wait(seconds):
        return call.receive()
    return _give_up(call, TIMED_OUT)
