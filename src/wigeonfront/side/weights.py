"""Weights at a side: when its engine loads a new version, without any leader.

A side learns of a version from its peer sessions, or from the weight store as the
backstop, and orders its own engine in the wave of its rank. After each order it
reads the engine's state back, because some engines ignore fencing numbers and an
order's answer may be lost. An engine that has no whole weights serves nothing.
"""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import replace

from wigeonfront.clock import Clock
from wigeonfront.logs import event
from wigeonfront.platform import Unavailable, Vm, VmList, WeightStore
from wigeonfront.policy.waves import (
    Peers,
    Swap,
    SwapSchedule,
    Wait,
    WaveSettings,
    drained,
)
from wigeonfront.side.execution import Execution, TargetCondition
from wigeonfront.side.target import EngineState, EngineTarget, Loaded

logger = logging.getLogger(__name__)

STATE_SECONDS = 1.0
STORE_SECONDS = 30.0
VM_LIST_SECONDS = 30.0
# An order's answer is waited for so long; then the engine's state tells the rest,
# because the order's connection may have gone silent.
ORDER_SECONDS = 2.0
LOAD_SECONDS = 120.0
LOADING_CHECK_SECONDS = 0.25
LOST_STATE_LIMIT = 3
SMOOTHING = 0.3
DRAIN_CHECK_SECONDS = 0.05


class WeightsKeeper:
    """Keeps one engine on the newest version (one task of the side).

    Parameters
    ----------
    name, service : str
        This side and its service; the service's name is the model's.
    engine : EngineTarget
    execution : Execution
        Told of the version served and of swaps.
    store : WeightStore or None
    vm_list : VmList
        Names the other sides of the service.
    fencing : callable
        Returns this side's fencing number, or 0 while it has none.
    clock : Clock
    """

    def __init__(
        self,
        name: str,
        service: str,
        engine: EngineTarget,
        execution: Execution,
        store: WeightStore | None,
        vm_list: VmList,
        fencing: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._name = name
        self._service = service
        self._engine = engine
        self._execution = execution
        self._store = store
        self._vm_list = vm_list
        self._fencing = fencing
        self._clock = clock
        self._waves = WaveSettings()
        self._schedule = SwapSchedule(
            name, service, self._waves, clock, random.Random()
        )
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._members: tuple[str, ...] = (name,)
        self._next_members = 0.0
        self._next_store = 0.0
        self._lost_states = 0
        self._incarnation = ""
        self._swapped = False

    @property
    def newest(self) -> int:
        """Newest version that the side has learned of."""
        return self._schedule.newest

    def learned(self, version: int) -> None:
        """Note that `version` exists; may be called from any thread."""
        with self._lock:
            news = self._schedule.learned(version)
        if news:
            event(logger, "version_learned", service=self._service, version=version)
            self._wake.set()

    def configure(self, wave: float) -> None:
        """Follow the catalogue's wave width."""
        self._set_waves(width=wave)

    def run(self, stop: threading.Event) -> None:
        """Watch the engine and swap when due (a supervisor's task)."""
        while not stop.is_set():
            pause = self.step()
            self._wake.wait(pause)
            self._wake.clear()

    def step(self) -> float:
        """Read the engine's state and act on it; return seconds until the next."""
        now = self._clock.monotonic()
        self._refresh_members(now)
        self._ask_store(now)
        state = self._engine.state()
        if not self._note_state(state):
            return STATE_SECONDS
        with self._lock:
            decision = self._schedule.decide(state.version, Peers(self._members))
        if isinstance(decision, Swap):
            self._swap(decision)
            return 0.0
        if isinstance(decision, Wait):
            return min(STATE_SECONDS, decision.seconds)
        return STATE_SECONDS

    def _note_state(self, state: EngineState | None) -> bool:
        """Tell the execution what the engine serves; return whether it answered."""
        if state is None:
            self._lost_states += 1
            if self._lost_states >= LOST_STATE_LIMIT:
                self._set_condition(-1, False, "engine_silent")
            return False
        self._lost_states = 0
        if state.incarnation != self._incarnation:
            event(logger, "engine_incarnation", incarnation=state.incarnation)
            self._incarnation = state.incarnation
        usable = state.version >= 0 and state.loading is None
        self._set_condition(state.version, usable, "state_read")
        return state.loading is None

    def _set_condition(self, version: int, serving: bool, reason: str) -> None:
        condition = TargetCondition(version, serving)
        if condition == self._execution.condition:
            return
        self._execution.condition = condition
        event(logger, "target", version=version, serving=serving, reason=reason)

    def _swap(self, swap: Swap) -> None:
        fencing = self._fencing()
        if not fencing:
            event(logger, "swap_put_off", version=swap.version, reason="no_fencing")
            with self._lock:
                self._schedule.failed()
            return
        event(
            logger,
            "swap_ordered",
            version=swap.version,
            reason=swap.reason,
            fencing=fencing,
            **swap.figures,
        )
        self._set_condition(self._execution.condition.version, False, "swap")
        self._execution.hold("swapping")
        self._drain()
        started = self._clock.monotonic()
        result = self._engine.load(swap.version, fencing, ORDER_SECONDS)
        state = self._await_loaded()
        # Urgent work is taken again once the state says that the engine serves.
        self._note_state(state)
        proved = state is not None and state.version >= swap.version
        seconds = self._clock.monotonic() - started
        if proved:
            self._set_waves(swap_seconds=self._smoothed(seconds))
        event(
            logger,
            "swapped" if proved else "swap_failed",
            version=swap.version,
            read_back=-1 if state is None else state.version,
            answer="loaded" if isinstance(result, Loaded) else result.reason,
            seconds=seconds,
        )
        if not proved:
            with self._lock:
                self._schedule.failed()

    def _await_loaded(self) -> EngineState | None:
        """Return the engine's state once it doesn't load, or after `LOAD_SECONDS`."""
        deadline = self._clock.monotonic() + LOAD_SECONDS
        state = self._engine.state()
        while _is_loading(state) and self._clock.monotonic() < deadline:
            self._clock.sleep(LOADING_CHECK_SECONDS)
            state = self._engine.state()
        return state

    def _drain(self) -> None:
        """Let interactive and booking work at the engine end, within bounds."""
        since = self._clock.monotonic()
        while not drained(
            self._execution.urgent_running,
            self._clock.monotonic() - since,
            self._waves,
        ):
            self._clock.sleep(DRAIN_CHECK_SECONDS)

    def _set_waves(self, **changed: float) -> None:
        with self._lock:
            self._waves = replace(self._waves, **changed)
            self._schedule.configure(self._waves)

    def _smoothed(self, seconds: float) -> float:
        """Return the expected time of a swap, so that waves follow as they end."""
        if not self._swapped:
            self._swapped = True
            return seconds
        return self._waves.swap_seconds + SMOOTHING * (
            seconds - self._waves.swap_seconds
        )

    def _ask_store(self, now: float) -> None:
        if self._store is None or now < self._next_store:
            return
        self._next_store = now + STORE_SECONDS * random.uniform(0.5, 1.5)
        newest = self._store.newest(self._service)
        if isinstance(newest, int):
            self.learned(newest)

    def _refresh_members(self, now: float) -> None:
        if now < self._next_members:
            return
        self._next_members = now + VM_LIST_SECONDS * random.uniform(0.5, 1.5)
        listed = self._vm_list.vms()
        if isinstance(listed, Unavailable):
            return
        names = {vm.name for vm in listed if self._is_member(vm)}
        self._members = tuple(sorted(names | {self._name}))

    def _is_member(self, vm: Vm) -> bool:
        return vm.role == "side" and vm.service == self._service and not vm.leaving


def _is_loading(state: EngineState | None) -> bool:
    return state is not None and state.loading is not None
