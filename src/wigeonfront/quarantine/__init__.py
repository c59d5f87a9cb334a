"""Requests that crash the targets that run them are kept away from all targets.

`policy` decides from the crashes that are known of a request, `record` is a crash as a
row of the store, `ledger` all crashes that this process knows, its own and those of the
other entries. `guard` finds crashes and answers the forwarding; `writer` has the rows
written and, once they are old, removed.
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
