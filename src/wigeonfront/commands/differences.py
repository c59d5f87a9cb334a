"""Differences between two JSON objects, field by field."""

from dataclasses import dataclass
from typing import Any

MISSING = "(none)"


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field that differs; `before` or `after` is ``(none)`` where it is missing."""

    field: str
    before: Any
    after: Any


def find_changes(before: dict[str, Any], after: dict[str, Any]) -> list[FieldChange]:
    """Return the fields that differ, sorted by their dotted paths.

    Examples
    --------
    >>> find_changes({"limits": {"rate": 5}}, {"limits": {"rate": 9}})
    [FieldChange(field='limits.rate', before=5, after=9)]
    """
    old, new = flatten(before), flatten(after)
    return [
        FieldChange(path, old.get(path, MISSING), new.get(path, MISSING))
        for path in sorted(old.keys() | new.keys())
        if path not in old or path not in new or old[path] != new[path]
    ]


def flatten(value: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    """Return the values in nested objects by their dotted paths.

    A list of objects that have names is treated as an object with these names as keys.
    """
    leaves: dict[str, Any] = {}
    for name, child in value.items():
        path = prefix + name
        child = _by_name(child)
        if isinstance(child, dict) and child:
            leaves.update(flatten(child, path + "."))
        else:
            leaves[path] = child
    return leaves


def _by_name(value: Any) -> Any:
    named = isinstance(value, list) and all(
        isinstance(item, dict) and "name" in item for item in value
    )
    return {str(item["name"]): item for item in value} if value and named else value
