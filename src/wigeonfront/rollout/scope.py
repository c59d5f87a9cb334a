"""Scopes the names of Lots to the client account that chose them.

Each account has a namespace of its own. No call of an account can reach a Lot of
another account, and a name that two accounts choose stands for two Lots.

Examples
--------
>>> scoped_name("studio", "l-1"), scoped_name("", "l-1"), scoped_name("a@b", "l-1")
('studio@l-1', '@l-1', 'a%40b@l-1')
>>> unscoped_name("studio@l-1"), unscoped_name("l-1")
('l-1', 'l-1')
"""

from urllib.parse import quote

SEPARATOR = "@"
"""Separates an account from the name of its Lot. A quoted account does not contain it,
so that the first separator ends the account."""


def scoped_name(account: str, name: str) -> str:
    """Return the id of the Lot that an account calls `name`.

    Parameters
    ----------
    account : str
        Client account; empty for calls that need no API key, in a deployment in which
        other calls need one.
    name : str
    """
    return f"{quote(account, safe='')}{SEPARATOR}{name}"


def unscoped_name(lot_id: str) -> str:
    """Return the name by which the account itself calls a Lot."""
    _, separator, name = lot_id.partition(SEPARATOR)
    return name if separator else lot_id
