"""Serves a process's metrics as text."""

import threading

from wigeonfront.http.raw import RawCall, RawServer
from wigeonfront.observability.metrics import Registry

METRICS_PORT = 9464
"""Port of the metrics page; exporters of this format usually have it."""

METRICS_PATH = "/metrics"
TEXT_TYPE = "text/plain; version=0.0.4"
THREADS = 2


class MetricsPage:
    """HTTP server of the metrics page.

    Parameters
    ----------
    host : str
    port : int
    registry : Registry

    Attributes
    ----------
    server : RawServer
        The page's server, which the process closes when it stops.
    """

    def __init__(self, host: str, port: int, registry: Registry) -> None:
        self._registry = registry
        self.server = RawServer(f"{host}:{port}", self._answer, THREADS)

    def run(self, stop: threading.Event) -> None:
        """Serve the page until `stop` is set; a task of a supervisor."""
        self.server.bind()
        self.server.run(stop)

    def _answer(self, call: RawCall) -> None:
        if call.path != METRICS_PATH:
            call.reply(404)
            return
        body = self._registry.render_text().encode()
        call.reply(200, body, (("Content-Type", TEXT_TYPE),))
