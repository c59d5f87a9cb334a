"""Who calls: client accounts, their API keys, and whether a call may run.

`directory` finds the account that holds a key; `authorization` reads the key of a
call; `admission` decides, without a network, whether a call is taken. It starts no
tasks and has no locks: a directory never changes, a new configuration brings another.
"""

from wigeonfront.accounts.admission import (
    Admission,
    AdmissionBounds,
    Admitted,
    Unauthenticated,
    Undecided,
    admit,
)
from wigeonfront.accounts.authorization import MalformedKey, NoKey, read_key
from wigeonfront.accounts.directory import (
    AccountDirectory,
    BadAccounts,
    ClientAccount,
    fingerprint,
    make_directory,
)

__all__ = [
    "AccountDirectory",
    "Admission",
    "AdmissionBounds",
    "Admitted",
    "BadAccounts",
    "ClientAccount",
    "MalformedKey",
    "NoKey",
    "Unauthenticated",
    "Undecided",
    "admit",
    "fingerprint",
    "make_directory",
    "read_key",
]
