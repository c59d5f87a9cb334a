"""The operators' configuration: routes, services, limits and client accounts.

A `Configuration` is immutable; a process replaces it as a whole when a new version
arrives. `Configuration.find_route` selects the route of a request, and
`Route.choose_service` selects one of its services.
"""

import enum
from dataclasses import dataclass, field

from wigeonfront.accounts import AccountDirectory


class RouteKind(enum.Enum):
    """The kind of a route, which says whether its requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    LOTS = "lots"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services that get the requests of a host and path prefix, and their limits.

    Attributes
    ----------
    name, host, prefix : str
    kind : RouteKind
    shares : tuple of ServiceShare
        The services, at least one.
    timeout : float
        Seconds within which a request must be answered.
    objective : float
        Latency objective in seconds: a later answer loses value.
    max_attempts : int
        Times that one call may be sent to a target; on a route for Lots, failures
        after which a sample is given up.
    priority : int
        Priority of the route's streams; 0 is the most urgent.
    resumable : bool
        Whether a broken stream may continue at another target.
    lot_deadline : float
        Seconds after a Lot's submission at which it is due.
    max_queue : float
        Seconds after a Lot's submission at which its samples may be given up.
    single_version : bool
        Whether each sample must come from a single version of the weights.
    public : bool
        Whether calls need no API key.
    share_weight : float
        Weight of each trainer of a route for Lots while engine slots are short.
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
    share_weight: float = 1.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT

    def stream_priority(self, account_priority: int | None) -> int | None:
        """Return the priority of a stream at its engine; ``None`` for other requests.

        Parameters
        ----------
        account_priority : int or None
            Priority of the client account, which overrides the route's.
        """
        if self.kind is not RouteKind.STREAMING:
            return None
        return self.priority if account_priority is None else account_priority

    def choose_service(self, draw: float) -> str:
        """Return a service, chosen at random by the weights of the shares.

        Parameters
        ----------
        draw : float
            A random number from 0 (included) to 1 (excluded).
        """
        total = sum(share.weight for share in self.shares)
        remaining = draw * total
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True)
class Service:
    """A service, which a group of targets provides.

    Attributes
    ----------
    name : str
    health_path : str
        Path of the targets' health check.
    max_connections : int
        Connections that one target accepts from all its clients together.
    slots : int
        Requests that one engine runs at once; 0 for plain services.
    models : tuple of str
        Models that the service's engines serve; empty for plain services.
    event_tokens : int
        Tokens in one event of an engine's stream.
    engine_tokens : int
        Tokens that the memory of one engine holds; 0 if unknown.
    """

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    models: tuple[str, ...] = ()
    event_tokens: int = 1
    engine_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of a caller's connection.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest header section and largest body of a request, in bytes.
    header_seconds : float
        Seconds within which the header section must arrive.
    idle_seconds : float
        Seconds without data after which a connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the whole configuration.

    Attributes
    ----------
    version : int
    routes : tuple of Route
    services : dict of str to Service
        The services by their names.
    limits : CallerLimits
    accounts : AccountDirectory or None
        The client accounts that may call; ``None`` where calls need no API keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    accounts: AccountDirectory | None = field(default=None, repr=False)

    @property
    def plain_services(self) -> list[str]:
        """Names of the services without engines."""
        return [
            name
            for name, service in self.services.items()
            if not service.models and not service.slots
        ]

    def requires_single_version(self, service: str) -> bool:
        """Return whether a route needs each sample of `service` from one version."""
        return any(
            route.single_version and share.service == service
            for route in self.routes
            for share in route.shares
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` whose prefix is the longest match of `path`."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best
