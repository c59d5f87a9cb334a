"""What the items of the cases generate; every worker makes the same."""

import zlib


def event_count(id: str) -> int:
    """Return the number of events of an item; every worker makes the same."""
    return 30 + zlib.crc32(id.encode()) % 31


def event_data(id: str, number: int) -> str:
    """Return the data of an event; every worker makes the same."""
    return f"{id}/{number}"


def whole_output(id: str) -> str:
    """Return an item's whole output."""
    numbers = range(1, event_count(id) + 1)
    return "\n".join(event_data(id, number) for number in numbers)
