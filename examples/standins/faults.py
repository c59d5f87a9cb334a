"""Faults that a test orders from a running stand-in by ``POST /faults``."""

import threading
import time
from typing import Annotated, Literal

import msgspec

FaultKind = Literal[
    "down",
    "slow",
    "lost_answer",
    "error",
    "drop_mid_stream",
    "load_fails",
    "half_load",
    "none",
]


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """One ordered fault.

    Attributes
    ----------
    kind : str
        ``down``: 503, or a closed connection with `close`, and nothing is done.
        ``slow``: waits `delay` seconds first. ``lost_answer``: a POST is carried
        out, then the connection closes without an answer. ``error``: 500 and
        nothing is done. ``drop_mid_stream``: a stream is cut after its first line.
        ``load_fails``, ``half_load``: an engine's next load fails, and in the
        second case leaves it without weights. ``none``: ends all faults.
    seconds : float, optional
        How long the fault holds; left out, until ``none``.
    count : int, optional
        How many calls it meets; left out, any number.
    path_prefix : str
        Only calls whose path starts so.
    delay : float
        Seconds that ``slow`` waits.
    close : bool
        Whether ``down`` closes the connection instead of answering 503.
    """

    kind: FaultKind
    seconds: Annotated[float, msgspec.Meta(gt=0)] | None = None
    count: Annotated[int, msgspec.Meta(ge=1)] | None = None
    path_prefix: str = ""
    delay: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    close: bool = False


class Faults:
    """The faults now in force at one stand-in; several may hold together."""

    def __init__(self) -> None:
        self._faults: list[tuple[Fault, float]] = []
        self._lock = threading.Lock()

    def order(self, fault: Fault) -> None:
        """Bring `fault` in force, or end all for the kind ``none``."""
        until = time.monotonic() + (fault.seconds or float("inf"))
        with self._lock:
            if fault.kind == "none":
                self._faults.clear()
            else:
                self._faults.append((fault, until))

    def take(self, kind: FaultKind, path: str) -> Fault | None:
        """Return a fault of `kind` that meets a call to `path`, and count it."""
        now = time.monotonic()
        with self._lock:
            self._faults = [
                (fault, until)
                for fault, until in self._faults
                if now < until and fault.count != 0
            ]
            for fault, _ in self._faults:
                if fault.kind == kind and path.startswith(fault.path_prefix):
                    if fault.count is not None:
                        fault.count -= 1
                    return fault
        return None
