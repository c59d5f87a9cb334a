"""Quarantine of requests that crash the targets that run them.

A quarantined request is not sent to any target. `policy` decides on it from the known
crashes of a request. `record` encodes a crash as a row of the store. `ledger` holds all
crashes that this process knows: its own and those that other entries have reported.
`guard` detects crashes and tells forwarding which requests to hold back. `writer`
writes the rows to the store, and removes them once they have expired.
"""

from wigeonfront.quarantine.guard import CrashGuard
from wigeonfront.quarantine.ledger import CrashLedger
from wigeonfront.quarantine.policy import quarantine_end
from wigeonfront.quarantine.record import CRASH_PREFIX, Crash
from wigeonfront.quarantine.writer import CrashWriter

__all__ = [
    "CRASH_PREFIX",
    "Crash",
    "CrashGuard",
    "CrashLedger",
    "CrashWriter",
    "quarantine_end",
]
