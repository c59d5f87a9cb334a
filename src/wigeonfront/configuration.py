"""What the operators have configured: routes, services and limits.

A `Configuration` is immutable; processes replace the whole of it. `Configuration.find`
selects a route, and `Route.choose_service` one of its services.
"""

import enum
from dataclasses import dataclass, field

from wigeonfront.accounts import AccountDirectory


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    LOTS = "lots"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and a path prefix go, and what bounds them.

    Attributes
    ----------
    name, host, prefix : str
    kind : RouteKind
    shares : tuple of ServiceShare
        At least one.
    timeout : float
        Seconds that a request may be kept waiting.
    objective : float
        Seconds within which an answer is worth its full value.
    max_attempts : int
        Targets that one attempt of a caller may be sent to.
    priority : int
        0 is the most urgent.
    resumable : bool
        A broken stream may go on at another target.
    lot_deadline : float
        Seconds after its submission at which a Lot is due.
    max_queue : float
        Seconds after its submission at which a sample may be given up.
    single_version : bool
        A sample must come from one version of the weights.
    public : bool
        Calls need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    objective: float
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    lot_deadline: float = 0.0
    max_queue: float = 0.0
    single_version: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT

    def stream_priority(self, account_priority: int | None) -> int | None:
        """Return the rank of a stream at its engine; ``None`` for other requests.

        Parameters
        ----------
        account_priority : int or None
            Priority of the client account; it goes before the route's.
        """
        if self.kind is not RouteKind.STREAMING:
            return None
        return self.priority if account_priority is None else account_priority

    def choose_service(self, draw: float) -> str:
        """Return the service for a random `draw` from 0 (included) to 1."""
        total = sum(share.weight for share in self.shares)
        rest = draw * total
        for share in self.shares:
            rest -= share.weight
            if rest < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True)
class Service:
    """A service of targets.

    Attributes
    ----------
    name : str
    health_path : str
    max_connections : int
        Connections that one target accepts from all callers together.
    slots : int
        Requests that one engine runs at once; 0 for plain services.
    models : tuple of str
        Models that its engines serve; none for plain services.
    event_tokens : int
        Tokens in one event of an engine's stream.
    """

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    models: tuple[str, ...] = ()
    event_tokens: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send: bytes, and seconds to take or to stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that is configured, at one version.

    Attributes
    ----------
    version : int
    routes : tuple of Route
    services : dict of str to Service
        By their names.
    limits : CallerLimits
    accounts : AccountDirectory or None
        Who may call; ``None`` where calls need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    accounts: AccountDirectory | None = field(default=None, repr=False)

    def requires_single_version(self, service: str) -> bool:
        """Tell whether a route wants each sample of `service` from one version."""
        return any(
            route.single_version and share.service == service
            for route in self.routes
            for share in route.shares
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix that begins `path`."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best
