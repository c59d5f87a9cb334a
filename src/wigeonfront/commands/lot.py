"""``wigeonfront lot submit``: submit a Lot as a trainer does."""

import argparse
import json
import os
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import closing, contextmanager
from typing import Any

import msgspec

from wigeonfront import client
from wigeonfront.commands import exit_codes
from wigeonfront.commands.output import print_error, print_json, print_table
from wigeonfront.messages import LotBody, to_wire
from wigeonfront.outcomes import Completed
from wigeonfront.settings import OperatorSettings

PROGRESS_SECONDS = 5.0


def submit(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Submit the Lot of a file, write its answer and acknowledge it."""
    body = _read(arguments.file)
    if body is None:
        return exit_codes.USAGE
    lot = _lot(body)
    addresses = [str(address) for address in settings.entry]
    waiting = _Waiting(body.timeout)
    trainer = client.TrainerClient(
        addresses, body.trainer, progress=_progress, samples_told=waiting.tell
    )
    _progress(f"Lot {body.key}: {len(lot.samples)} samples to {lot.service}")
    with closing(trainer):
        with waiting.reporting():
            end = trainer.submit_lot(lot, body.timeout)
        if not isinstance(end, client.LotAnswered):
            return _report(end, arguments.json)
        _write(end, arguments)
        acknowledged = trainer.acknowledge(lot, settings.timeout_seconds)
    if not isinstance(acknowledged, client.Acknowledged):
        print_error(f"answered, but not acknowledged: {_words(acknowledged)}")
        return exit_codes.FAILED
    whole = all(isinstance(each, Completed) for each in end.outcomes.values())
    return exit_codes.OK if whole else exit_codes.FAILED


def _read(path: str) -> LotBody | None:
    try:
        if path == "-":
            data = sys.stdin.buffer.read()
        else:
            with open(path, "rb") as file:
                data = file.read()
        return msgspec.json.decode(data, type=LotBody)
    except OSError as error:
        print_error(f"{path}: {error.strerror}")
    except msgspec.DecodeError as error:
        print_error(f"{path}: {error}")
    return None


def _lot(body: LotBody) -> client.Lot:
    samples = tuple(
        client.Sample(each.sample, each.payload, each.group, each.max_tokens)
        for each in body.samples
    )
    return client.Lot(
        lot=body.lot,
        service=body.service,
        catalogue_entry=body.catalogue_entry,
        version=body.version,
        samples=samples,
        bound=body.bound,
        first_submission=body.submission,
    )


# --- progress ----------------------------------------------------------------


def _progress(words: str) -> None:
    print(words, file=sys.stderr, flush=True)


class _Waiting:
    """Says every few seconds how far the Lot is and how long that has taken."""

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._done = threading.Event()
        self._told: client.LotProgress | None = None

    def tell(self, told: client.LotProgress) -> None:
        """Note what an entry has said of the Lot."""
        self._told = told

    @contextmanager
    def reporting(self) -> Iterator[None]:
        """Report while the block runs."""
        thread = threading.Thread(target=self._report, daemon=True)
        thread.start()
        try:
            yield
        finally:
            self._done.set()
            thread.join()

    def words(self, waited: float) -> str:
        """Return the report after so many seconds."""
        words = f"waiting, {waited:.0f} of {self._timeout:g} seconds"
        if self._told is None:
            return words
        total = self._told.finished + self._told.missing
        return f"{words}, {self._told.finished} of {total} samples finished"

    def _report(self) -> None:
        start = time.monotonic()
        while not self._done.wait(PROGRESS_SECONDS):
            _progress(self.words(time.monotonic() - start))


# --- answers -----------------------------------------------------------------


def _write(answer: client.LotAnswered, arguments: argparse.Namespace) -> None:
    """Write the answer; it must be safe before it is acknowledged."""
    document = _document(answer)
    if arguments.output:
        _write_file(arguments.output, document)
    if arguments.json and not arguments.output:
        print_json(document)
    elif not arguments.output:
        _print_answer(answer)
    _print_summary(answer)
    sys.stdout.flush()


def _document(answer: client.LotAnswered) -> dict[str, Any]:
    return {
        "status": "complete",
        "submission": answer.submission,
        "entry": answer.entry,
        "samples": [
            {"sample": name, "outcome": msgspec.to_builtins(to_wire(outcome))}
            for name, outcome in answer.outcomes.items()
        ],
    }


def _write_file(path: str, document: dict[str, Any]) -> None:
    temporary = f"{path}.part"
    with open(temporary, "w", encoding="utf-8") as file:
        json.dump(document, file, indent=2, ensure_ascii=False)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


def _print_answer(answer: client.LotAnswered) -> None:
    rows = []
    for name, outcome in answer.outcomes.items():
        frame = to_wire(outcome)
        spans = [f"{s.version}[{s.start}:{s.end}]" for s in frame.versions]
        rows.append([name, frame.kind, " ".join(spans), frame.target, frame.reason])
    print_table(["sample", "outcome", "versions", "target", "reason"], rows)


def _print_summary(answer: client.LotAnswered) -> None:
    kinds = Counter(to_wire(outcome).kind for outcome in answer.outcomes.values())
    counts = ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items()))
    _progress(f"answered by {answer.entry}, submission {answer.submission}: {counts}")


def _report(end: Any, as_json: bool) -> int:
    fields = msgspec.to_builtins(end)
    if as_json:
        print_json({"status": _status(end), **fields})
    print_error(f"the Lot was not answered: {_words(end)}")
    if isinstance(end, client.LotUnreached):
        return exit_codes.UNREACHABLE
    return exit_codes.FAILED


def _status(end: Any) -> str:
    names = {
        client.LotAlreadyDelivered: "already_delivered",
        client.LotSuperseded: "superseded",
        client.LotExpired: "expired",
        client.LotUnreached: "unreached",
        client.LotRefused: "refused",
        client.CallRejected: "rejected",
        client.AcknowledgementUnknown: "unknown",
    }
    return names[type(end)]


def _words(end: Any) -> str:
    fields = msgspec.to_builtins(end)
    details = ", ".join(f"{name} {value}" for name, value in fields.items())
    return f"{_status(end)} ({details})" if details else _status(end)
