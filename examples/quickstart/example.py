"""What the example deployments hold, read from their JSON files."""

from pathlib import Path

import msgspec

FOLDER = Path(__file__).resolve().parent
NAMES = ("hraunbok", "association")


class TrainerPart(msgspec.Struct, forbid_unknown_fields=True):
    """A trainer: Lots of `samples` in groups of `group`, one after another."""

    name: str
    samples: int
    group: int
    bound: int
    reward_route: str
    api_key: str = ""


class CallerPart(msgspec.Struct, forbid_unknown_fields=True):
    """An ordinary user.

    Attributes
    ----------
    once : bool
        Its calls must not run twice; they have idempotency keys.
    streamed : bool
        Its answers are streams of an engine.
    """

    name: str
    route: str
    path: str
    payload: dict[str, str | int]
    once: bool = False
    streamed: bool = False
    api_key: str = ""


class Example(msgspec.Struct, forbid_unknown_fields=True):
    """One deployment.

    Attributes
    ----------
    entries, engines, plain : int
        How many there are of each.
    sides : bool
        A side runs beside each engine; without sides, entries order the engines.
    catalogue : msgspec.Raw
        The document that an operator writes.
    usage_window : float
        Seconds in which usage of client accounts is counted; 0 for not at all.
    """

    name: str
    owner: str
    failure_domains: list[str]
    entries: int
    engines: int
    sides: bool
    plain: int
    model: str
    trainers: list[TrainerPart]
    callers: list[CallerPart]
    catalogue: msgspec.Raw
    usage_window: float = 0.0

    def failure_domain(self, number: int) -> str:
        """Return where the machine with this number stands."""
        return self.failure_domains[number % len(self.failure_domains)]

    def service(self, engines: bool) -> str:
        """Return the name of the engines' service, or of the plain one."""
        document = msgspec.json.decode(self.catalogue)
        found = [
            each["name"]
            for each in document["services"]
            if ("engine" in each) == engines
        ]
        return found[0]


def load(name: str) -> Example:
    """Read an example deployment by its name."""
    data = (FOLDER / f"{name}.json").read_bytes()
    return msgspec.json.decode(data, type=Example)
