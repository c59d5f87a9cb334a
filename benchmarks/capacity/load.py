"""Load generator, a process of its own: ``python -m benchmarks.capacity.load``.

With a rate, one call is due in each interval, at a random time of it, whatever became
of earlier ones, and the time of a call counts from when it was due. Without one, each
connection makes its next call when it has its answer.
"""

import argparse
import itertools
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException

import msgspec
from hdrh.histogram import HdrHistogram

LONGEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 90.0, 99.0, 99.9)
CALL_SECONDS = 60.0


class LoadReport(msgspec.Struct):
    """What a run of the load generator saw; times in seconds.

    Attributes
    ----------
    calls, seconds : int, float
        Calls answered, and how long the run took.
    statuses : dict of str to int
        Calls by HTTP status; ``lost`` for those without an answer.
    quantiles : dict of str to float
        Time of a call at each of `QUANTILES`.
    """

    calls: int
    seconds: float
    statuses: dict[str, int]
    quantiles: dict[str, float]


class Load:
    """Calls to one address over a fixed number of connections.

    Parameters
    ----------
    arguments : argparse.Namespace
        The flags of the command.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._body = arguments.body.encode()
        self._lock = threading.Lock()
        self._times = HdrHistogram(1, LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        self._statuses: Counter[str] = Counter()
        self._start = time.monotonic() + 0.2
        self._due = self._due_times()

    def run(self) -> LoadReport:
        """Make the calls and return what was seen."""
        threads = [
            threading.Thread(target=self._connection)
            for _ in range(self._arguments.connections)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return LoadReport(
            sum(self._statuses.values()),
            time.monotonic() - self._start,
            dict(self._statuses),
            {
                f"{quantile:g}": self._times.get_value_at_percentile(quantile) / 1e6
                for quantile in QUANTILES
            },
        )

    def _due_times(self) -> Iterator[float]:
        """Yield when the next call is due: at once where there is no rate."""
        rate = self._arguments.rate
        times = random.Random(self._arguments.seed)
        end = self._start + self._arguments.seconds
        for number in itertools.count():
            due = time.monotonic()
            if rate:
                due = self._start + (number + times.random()) / rate
            if due >= end:
                return
            yield max(due, self._start)

    def _connection(self) -> None:
        host, _, port = self._arguments.address.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=CALL_SECONDS)
        while True:
            with self._lock:
                due = next(self._due, None)
            if due is None:
                return
            time.sleep(max(0.0, due - time.monotonic()))
            status = self._call(connection)
            micros = max(1, int((time.monotonic() - due) * 1e6))
            with self._lock:
                self._statuses[status] += 1
                self._times.record_value(min(micros, LONGEST_MICROSECONDS))

    def _call(self, connection: HTTPConnection) -> str:
        headers = {"Content-Type": "application/json"}
        try:
            connection.request("POST", self._arguments.path, self._body, headers)
            response = connection.getresponse()
            response.read()
        except (TimeoutError, HTTPException, OSError):
            connection.close()
            return "lost"
        return str(response.status)


def main() -> None:
    """Run the load generator and print its report as JSON."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument("--address", required=True, help="host:port")
    flags.add_argument("--path", required=True)
    flags.add_argument("--body", required=True, help="JSON sent with each call")
    flags.add_argument("--rate", type=float, default=0.0, help="calls a second")
    flags.add_argument("--seconds", type=float, default=10.0)
    flags.add_argument("--connections", type=int, default=16)
    flags.add_argument("--seed", type=int, default=1, help="of the times of calls")
    report = Load(flags.parse_args()).run()
    sys.stdout.write(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    main()
