"""The deployments of the two users, read from ``examples/<name>/deployment.json``."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from wigeonfront.catalogue import CatalogueEntry

EXAMPLES = Path(__file__).resolve().parent.parent
NAMES = ("hraunbok", "association")
FIRST_VERSION = 1

Positive = Annotated[int, msgspec.Meta(ge=1)]


class Struct(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the parts of a deployment."""


class Worker(Struct, frozen=True, kw_only=True):
    """One VM with a target and the side process beside it."""

    name: str
    service: str
    failure_domain: str


class Service(Struct, frozen=True, kw_only=True):
    """A service; `flags` go to its stand-ins, `capacity` is calls at once."""

    name: str
    kind: Literal["engine", "plain"]
    workers: Positive
    capacity: Positive
    flags: dict[str, int | float] = {}


class Trainer(Struct, frozen=True, kw_only=True):
    """A trainer: `samples` in each Lot, in groups of `group`."""

    name: str
    service: str
    catalogue_entry: str
    bound: int
    samples: Positive
    group: Positive


class Call(Struct, frozen=True, kw_only=True):
    """An ordinary user's call to a plain service."""

    service: str
    catalogue_entry: str
    payload: Any
    idempotent: bool


class Deployment(Struct, frozen=True, kw_only=True):
    """One user's places, services, trainers and catalogue; times in seconds."""

    name: str
    owner: str
    failure_domains: list[str]
    latency_between_domains: float
    latency_to_clients: float
    entries: Annotated[int, msgspec.Meta(ge=2)]
    services: list[Service]
    trainers: list[Trainer]
    calls: list[Call]
    catalogue: dict[str, CatalogueEntry]

    def workers(self) -> Iterator[tuple[Service, Worker]]:
        """Return each service's workers, spread over the failure domains."""
        for service in self.services:
            for index in range(service.workers):
                name = f"{service.name}-{index + 1}"
                yield (
                    service,
                    Worker(
                        name=name,
                        service=service.name,
                        failure_domain=self.domain(index),
                    ),
                )

    def domain(self, index: int) -> str:
        """Return the failure domain of the VM with this number."""
        return self.failure_domains[index % len(self.failure_domains)]


def load(name: str) -> Deployment:
    """Return the deployment of that name.

    Parameters
    ----------
    name : str
        One of `NAMES`.
    """
    path = EXAMPLES / name / "deployment.json"
    return msgspec.json.decode(path.read_bytes(), type=Deployment)
