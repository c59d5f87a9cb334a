"""Authentication of calls: client accounts, their API keys, and admission.

`directory` finds the account that holds a key, `authorization` reads the key of a call,
`admission` decides without network access whether a call is accepted, and `gate` also
counts and logs the refused ones. The package starts no tasks and has no locks: a
directory is immutable, and a new configuration brings a new one.
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
