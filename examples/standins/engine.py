"""Stand-in for a model engine."""

import argparse
import threading
import time
import uuid
from typing import Annotated, Any

import msgspec
import urllib3

from standins.batch import Batch, BatchSettings, Job, TokenStream
from standins.history import digest
from standins.server import Call, Handler, Reply, StandIn, parser, refusal

FETCH_TIMEOUT = 60.0
SPARE_THREADS = 32


class GenerateBody(msgspec.Struct):
    """Body of ``POST /generate``."""

    id: str
    payload: Any = None
    prefix: str = ""
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 64
    priority: int = 0
    prior: list[Any] = []


class CancelBody(msgspec.Struct):
    """Body of ``POST /cancel``."""

    id: str


class LoadOrder(msgspec.Struct):
    """Body of ``POST /orders/load``."""

    version: Annotated[int, msgspec.Meta(ge=0)]
    fencing: int = 0


class Engine(StandIn):
    """Generates tokens that follow from the payload and their position alone."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._incarnation = uuid.uuid4().hex[:12]
        self._model = arguments.model
        self._store = arguments.weight_store.rstrip("/")
        self._swap_seconds = arguments.swap_seconds
        self._checks_fencing = arguments.checks_fencing
        self._fencing = 0
        self._loading: int | None = None
        self._order_lock = threading.Lock()
        self._http = urllib3.PoolManager(retries=False, timeout=FETCH_TIMEOUT)
        settings = {name: getattr(arguments, name) for name in BATCH_FLAGS}
        version = arguments.version
        self._batch = Batch(BatchSettings(**settings), version, self.history)
        threading.Thread(target=self._batch.run, daemon=True).start()

    def routes(self) -> dict[str, Handler]:
        """Return the routes of the engine."""
        return {
            "POST /generate": self._generate,
            "POST /cancel": self._cancel,
            "GET /state": self._state,
            "POST /orders/load": self._load,
            "GET /load": lambda call: Reply(self._batch.load()),
            "GET /cache-events": self._cache_events,
        }

    def _generate(self, call: Call) -> Reply:
        body = call.read(GenerateBody)
        job = Job(
            id=body.id,
            digest=digest(body.payload),
            prefix=body.prefix,
            priority=body.priority,
            max_tokens=body.max_tokens,
            position=len(body.prior),
        )
        refused = self._batch.submit(job)
        if refused:
            return refusal(503, refused, retry_after=0.5)
        return Reply(stream=TokenStream(self._batch, job))

    def _cancel(self, call: Call) -> Reply:
        return Reply({"cancelled": self._batch.cancel(call.read(CancelBody).id)})

    def _cache_events(self, call: Call) -> Reply:
        return Reply(self._batch.cache_events(int(call.query.get("after", "0"))))

    def _state(self, call: Call) -> Reply:
        return Reply(
            {
                "incarnation": self._incarnation,
                "model": self._model,
                "version": self._batch.version,
                "loading": self._loading,
                "fencing": self._fencing,
                "checks_fencing": self._checks_fencing,
            }
        )

    def _load(self, call: Call) -> Reply:
        order = call.read(LoadOrder)
        with self._order_lock:
            if self._checks_fencing and order.fencing < self._fencing:
                return refusal(409, "fenced", f"newest is {self._fencing}")
            self._fencing = order.fencing
            if self._loading is not None:
                return refusal(502, "busy", f"loading {self._loading}")
            self._loading = order.version
        self.history.write("load_start", version=order.version, fencing=order.fencing)
        try:
            return self._carry_out(order)
        finally:
            self._loading = None

    def _carry_out(self, order: LoadOrder) -> Reply:
        error = self._fetch(order.version)
        if not error and self.faults.take("load_fails", "/orders/load"):
            error = "load failed"
        if not error and self.faults.take("half_load", "/orders/load"):
            error = "load failed half-way"
            self._batch.swap(-1)
        if error:
            self.history.write("load_failed", version=order.version, detail=error)
            return refusal(502, "load_failed", error)
        self._batch.swap(order.version, self._swap_seconds)
        self.history.write("loaded", version=order.version, fencing=order.fencing)
        return Reply({"version": order.version})

    def _fetch(self, version: int) -> str:
        """Fetch the weights; return what went wrong, or nothing."""
        if not self._store:
            time.sleep(self._swap_seconds)
            return ""
        url = f"{self._store}/models/{self._model}/{version}"
        try:
            response = self._http.request("GET", url)
        except urllib3.exceptions.HTTPError as error:
            return f"weight store: {type(error).__name__}"
        return "" if response.status == 200 else f"weight store: {response.status}"


BATCH_FLAGS = BatchSettings.__dataclass_fields__


def main() -> None:
    """Run the engine."""
    flags = parser("engine", __doc__, threads=0)
    flags.add_argument("--model", required=True, help="model name at the weight store")
    flags.add_argument("--version", type=int, default=-1, help="version at the start")
    flags.add_argument("--weight-store", default="", help="URL of the weight store")
    flags.add_argument("--swap-seconds", type=float, default=0.0)
    flags.add_argument("--checks-fencing", action="store_true")
    for name, kind in BATCH_FLAGS.items():
        flag = "--" + name.replace("_", "-")
        flags.add_argument(flag, type=kind.type, default=kind.default)
    arguments = flags.parse_args()
    if not arguments.threads:
        arguments.threads = arguments.slots + arguments.queue_limit + SPARE_THREADS
    Engine(arguments).serve()


if __name__ == "__main__":
    main()
