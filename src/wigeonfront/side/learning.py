"""What a side learns on its peer sessions: versions and the service's policy."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from wigeonfront.messages import PolicyRow, ServicePolicy

DEFAULT_WAVE = 0.34
MAX_REMOVED = 1000


@dataclass(frozen=True, slots=True)
class FollowedPolicy:
    """The policy in force at a side.

    Attributes
    ----------
    revision : int
        Highest catalogue revision that it was made from.
    rows : dict of str to PolicyRow
        By catalogue entry.
    """

    revision: int = 0
    rows: dict[str, PolicyRow] = field(default_factory=dict)

    @property
    def wave(self) -> float:
        """Share of the service's engines that may load weights at once."""
        return min((row.wave for row in self.rows.values()), default=DEFAULT_WAVE)

    @property
    def weights(self) -> dict[str, float]:
        """Weight of each catalogue entry in the fair share."""
        return {name: row.weight for name, row in self.rows.items()}


class Learning:
    """Keeps the newest of what entries say; a lower revision is never applied.

    Entries may know different rows for a moment, so policies are merged row by
    row: the higher revision of a row wins, and a row is dropped when an entry that
    knows a later write no longer has it. Only an entry that knows as much as the
    one that dropped it can bring it back.

    Parameters
    ----------
    service : str
        The side's service.
    on_version : callable
        Told of each announced version.
    on_policy : callable
        Told of each change of the policy.
    """

    def __init__(
        self,
        service: str,
        on_version: Callable[[int], None] = lambda version: None,
        on_policy: Callable[[FollowedPolicy], None] = lambda policy: None,
    ) -> None:
        self._service = service
        self._on_version = on_version
        self._on_policy = on_policy
        self._lock = threading.Lock()
        self._policy = FollowedPolicy()
        self._removed: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """Catalogue revision of the policy in force."""
        return self._policy.revision

    @property
    def policy(self) -> FollowedPolicy:
        """The policy in force."""
        return self._policy

    def take(self, versions: dict[str, int], policy: ServicePolicy | None) -> None:
        """Take what one message carried."""
        version = versions.get(self._service)
        if version is not None:
            self._on_version(version)
        if policy is None:
            return
        with self._lock:
            rows = self._merged(policy)
            revision = max(self._policy.revision, policy.revision)
            changed = rows != self._policy.rows
            merged = FollowedPolicy(revision, rows)
            if changed:
                self._on_policy(merged)
            self._policy = merged

    def _merged(self, policy: ServicePolicy) -> dict[str, PolicyRow]:
        rows = dict(self._policy.rows)
        for name, row in self._policy.rows.items():
            if name not in policy.rows and policy.revision > row.revision:
                del rows[name]
                self._remove(name, policy.revision)
        for name, row in policy.rows.items():
            if name in rows:
                news = row.revision > rows[name].revision
            else:
                news = policy.revision >= self._removed.get(name, 0)
            if news:
                rows[name] = row
                self._removed.pop(name, None)
        return rows

    def _remove(self, name: str, revision: int) -> None:
        self._removed[name] = revision
        if len(self._removed) > MAX_REMOVED:
            del self._removed[min(self._removed, key=self._removed.__getitem__)]
