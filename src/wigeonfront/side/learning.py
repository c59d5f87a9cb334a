"""What a side learns on its peer sessions: versions and the service's policy."""

import threading
from collections.abc import Callable

from wigeonfront.messages import ServicePolicy


class Learning:
    """Keeps the newest of what entries say; a lower revision is never applied.

    Parameters
    ----------
    service : str
        The side's service.
    on_version : callable
        Told of each announced version.
    on_policy : callable
        Told of each newer policy.
    """

    def __init__(
        self,
        service: str,
        on_version: Callable[[int], None] = lambda version: None,
        on_policy: Callable[[ServicePolicy], None] = lambda policy: None,
    ) -> None:
        self._service = service
        self._on_version = on_version
        self._on_policy = on_policy
        self._lock = threading.Lock()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Catalogue revision of the policy in force."""
        return self._revision

    def take(self, versions: dict[str, int], policy: ServicePolicy | None) -> None:
        """Take what one message carried."""
        version = versions.get(self._service)
        if version is not None:
            self._on_version(version)
        if policy is None:
            return
        with self._lock:
            if policy.revision <= self._revision:
                return
            self._on_policy(policy)
            self._revision = policy.revision
