"""Stand-in for the weight store, which is rate-limited."""

import argparse
import threading
import time
from pathlib import Path
from typing import Annotated

import msgspec

from standins.server import Call, Handler, RateLimit, Reply, StandIn, parser, refusal


class Publication(msgspec.Struct):
    """Body of ``POST /models/M``."""

    version: Annotated[int, msgspec.Meta(ge=0)]


class WeightStore(StandIn):
    """Versions of models by name; reading the weights takes ``--load-seconds``."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._load_seconds = arguments.load_seconds
        self._limit = RateLimit(arguments.rate)
        self._lock = threading.Lock()
        self._data = Path(arguments.data) if arguments.data else None
        self._models: dict[str, list[int]] = {}
        if self._data and self._data.exists():
            self._models = msgspec.json.decode(self._data.read_bytes())

    def routes(self) -> dict[str, Handler]:
        """Return the routes of the weight store."""
        return {"GET /models/*": self._read, "POST /models/*": self._publish}

    def _publish(self, call: Call) -> Reply:
        model = call.path.split("/")[2]
        version = call.read(Publication).version
        with self._lock:
            versions = set(self._models.get(model, [])) | {version}
            self._models[model] = sorted(versions)
            if self._data:
                self._data.write_bytes(msgspec.json.encode(self._models))
        self.history.write("published", model=model, version=version)
        return Reply({"model": model, "newest": max(versions)})

    def _read(self, call: Call) -> Reply:
        wait = self._limit.take()
        if wait > 0:
            return refusal(429, "rate_limited", retry_after=wait)
        _, _, model, *version = call.path.split("/")
        versions = self._models.get(model, [])
        if not versions:
            return refusal(404, "no_such_model", model)
        if not version:
            return Reply({"model": model, "newest": versions[-1]})
        if int(version[0]) not in versions:
            return refusal(404, "no_such_version", version[0])
        time.sleep(self._load_seconds)
        return Reply({"model": model, "version": int(version[0])})


def main() -> None:
    """Run the weight store."""
    flags = parser("weight_store", __doc__)
    flags.add_argument("--rate", type=float, default=50.0, help="reads a second")
    flags.add_argument("--load-seconds", type=float, default=0.2)
    flags.add_argument("--data", default="", help="file that outlives a restart")
    WeightStore(flags.parse_args()).serve()


if __name__ == "__main__":
    main()
