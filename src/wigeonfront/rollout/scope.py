"""Names of Lots that several client accounts may give alike.

Each account has names of its own: what another account submitted is unknown to it, by
every call, and a name that two accounts choose means two Lots.

Examples
--------
>>> scoped_name("studio", "l-1"), scoped_name("", "l-1"), scoped_name("a@b", "l-1")
('studio@l-1', '@l-1', 'a%40b@l-1')
>>> unscoped_name("studio@l-1"), unscoped_name("l-1")
('l-1', 'l-1')
"""

from urllib.parse import quote

SEPARATOR = "@"
"""Between an account and its Lot's name; quoted in accounts, so that it ends them."""


def scoped_name(account: str, name: str) -> str:
    """Return the id of the Lot that an account calls `name`.

    Parameters
    ----------
    account : str
        Empty for calls that need no key, though others do.
    """
    return f"{quote(account, safe='')}{SEPARATOR}{name}"


def unscoped_name(lot_id: str) -> str:
    """Return what the account itself calls a Lot."""
    _, separator, name = lot_id.partition(SEPARATOR)
    return name if separator else lot_id
