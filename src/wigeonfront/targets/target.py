"""A registered target as data; its state is in `wigeonfront.targets.table`."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Target:
    """A model engine or plain service, in one incarnation.

    Attributes
    ----------
    id : str
        Identifies this incarnation; a restart gives the target another one. The table
        keeps its state of a target under this id, so no state outlives a restart.
    service : str
    address : str
        ``host:port``.
    failure_domain : str
    slots : int
        Number of requests that the target runs at once.
    draining : bool
        Whether the target accepts no new work.
    cold_seconds : float
        Remaining time for which the target expected, when it registered, to be slow
        after its start.
    versions : mapping of str to int
        Version of each model's weights when the target registered.
    registered_id : str
        Id under which the target registers, which a restart doesn't change. If it is
        empty, the target registers under `id`.
    started_ms : int
        Unix time in milliseconds at which the target started; 0 if it is unknown.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    cold_seconds: float = 0.0
    versions: Mapping[str, int] = field(default_factory=dict)
    registered_id: str = ""
    started_ms: int = 0

    @property
    def name(self) -> str:
        """The id under which the target registers; the same after a restart."""
        return self.registered_id or self.id
