"""Descriptions of the example deployments, which are read from JSON files."""

from pathlib import Path

import msgspec

FOLDER = Path(__file__).resolve().parent
EXAMPLE_NAMES = ("hraunbok", "association")


class TrainerConfig(msgspec.Struct, forbid_unknown_fields=True):
    """A trainer, which submits one Lot after another.

    Attributes
    ----------
    samples : int
        Number of samples of each Lot.
    group : int
        Number of samples of each group of a Lot.
    bound : int
        Number of versions by which the weights of a sample may be older than those
        that the Lot asks for.
    reward_route : str
        Route of the reward calls; empty for none.
    api_key : str
        Empty where calls need none.
    """

    name: str
    samples: int
    group: int
    bound: int
    reward_route: str
    api_key: str = ""


class CallerConfig(msgspec.Struct, forbid_unknown_fields=True):
    """A caller, which makes one request after another.

    Attributes
    ----------
    once : bool
        Whether its calls must not run twice; they have idempotency keys then.
    streamed : bool
        Whether its answers are streams of an engine.
    api_key : str
        Empty where calls need none.
    """

    name: str
    route: str
    path: str
    payload: dict[str, str | int]
    once: bool = False
    streamed: bool = False
    api_key: str = ""


class Example(msgspec.Struct, forbid_unknown_fields=True):
    """An example deployment.

    Attributes
    ----------
    entries, engines, plain : int
        Number of entries, of model engines and of plain services.
    sides : bool
        Whether a side runs beside each engine. Without sides, the entries send the
        engines their orders.
    catalogue : msgspec.Raw
        The document that an operator writes.
    usage_window : float
        Seconds of a window in which the usage of client accounts is counted; 0 if it
        isn't counted.
    """

    name: str
    owner: str
    failure_domains: list[str]
    entries: int
    engines: int
    sides: bool
    plain: int
    model: str
    trainers: list[TrainerConfig]
    callers: list[CallerConfig]
    catalogue: msgspec.Raw
    usage_window: float = 0.0

    def failure_domain(self, number: int) -> str:
        """Return the failure domain of the VM with this number."""
        return self.failure_domains[number % len(self.failure_domains)]

    def service(self, engines: bool) -> str:
        """Return the name of the engines' service, or else of the plain service."""
        document = msgspec.json.decode(self.catalogue)
        names = [
            service["name"]
            for service in document["services"]
            if ("engine" in service) == engines
        ]
        return names[0]


def read_example(name: str) -> Example:
    """Read the example deployment `name` from its file."""
    data = (FOLDER / f"{name}.json").read_bytes()
    return msgspec.json.decode(data, type=Example)
