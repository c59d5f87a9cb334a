"""Checks the keys of calls, and counts and logs the refused ones for operators."""

import logging
from collections.abc import Callable

from wigeonfront.accounts.admission import (
    Admission,
    AdmissionBounds,
    Admitted,
    admit,
)
from wigeonfront.accounts.directory import AccountDirectory
from wigeonfront.clock import Clock
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry

logger = logging.getLogger(__name__)

LOG_INTERVAL_SECONDS = 1.0
"""Minimum time between two log lines about refused keys, so that a flood of bad keys
doesn't displace other log lines."""


class AccountGate:
    """Decides about each call by its key; counts and logs refused calls.

    Parameters
    ----------
    age : callable
        Returns the seconds by which the configuration may be behind the store.
    bounds : AdmissionBounds
    clock : Clock
    metrics : wigeonfront.observability.metrics.Registry
    """

    def __init__(
        self,
        age: Callable[[], float],
        bounds: AdmissionBounds,
        clock: Clock,
        metrics: Registry,
    ) -> None:
        self._age = age
        self._bounds = bounds
        self._clock = clock
        self._refused = metrics.counter(
            "calls_without_account_total", "Calls whose key was refused.", ("reason",)
        )
        self._logged_at = -LOG_INTERVAL_SECONDS
        self._unlogged = 0

    @property
    def outdated(self) -> bool:
        """Whether a change that must be in force by now may be missing here."""
        return self._age() > self._bounds.fresh_seconds

    def check(
        self,
        directory: AccountDirectory | None,
        version: int,
        public: bool,
        header: str,
    ) -> Admission:
        """Return whether a call is accepted, and for which account.

        Parameters
        ----------
        directory : AccountDirectory or None
            Directory of the configuration in force.
        version : int
            Version of that configuration, for the log.
        public, header
            As for `admit`.
        """
        age = self._age()
        admission = admit(directory, public, header, age, self._bounds)
        if not isinstance(admission, Admitted):
            self._refused.increment(reason=admission.reason)
            self._log(admission, version, age)
        return admission

    def _log(self, admission: Admission, version: int, age: float) -> None:
        now = self._clock.monotonic()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            self._unlogged += 1
            return
        event(
            logger,
            "key_refused",
            outcome=type(admission).__name__,
            reason=admission.reason,
            fingerprint=admission.fingerprint,
            version=version,
            age=age,
            unlogged=self._unlogged,
        )
        self._logged_at = now
        self._unlogged = 0
