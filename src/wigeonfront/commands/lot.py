"""``wigeonfront lot submit``: submit a Lot as a trainer does."""

import argparse
import json
import os
import sys
from collections import Counter
from collections.abc import Mapping
from contextlib import closing
from dataclasses import asdict
from typing import Any

import msgspec
from tqdm import tqdm

from wigeonfront import client
from wigeonfront.api.messages import LotBody, RewardBody
from wigeonfront.commands import exit_codes
from wigeonfront.commands.output import print_error, print_json, print_table
from wigeonfront.outcomes import Completed
from wigeonfront.settings import OperatorSettings

DEFAULT_SECONDS = 300.0

API_KEY_VARIABLE = "WIGEONFRONT_API_KEY"
"""Environment variable that holds the API key."""


def submit(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Submit the Lot in a file, write its answer and acknowledge the answer."""
    body = _read_body(arguments.file)
    if body is None:
        return exit_codes.USAGE
    try:
        api_key = read_api_key(arguments.api_key_file, os.environ)
    except OSError as error:
        print_error(f"{arguments.api_key_file}: {error.strerror}")
        return exit_codes.USAGE
    lot = _client_lot(body)
    addresses = [str(address) for address in settings.entry]
    bar = tqdm(total=len(lot.samples), unit="sample", file=sys.stderr)

    def show_progress(progress: client.LotProgress) -> None:
        bar.update(progress.finished - bar.n)

    trainer = client.TrainerClient(
        addresses,
        body.trainer,
        progress=bar.write,
        samples_told=show_progress,
        api_key=api_key,
    )
    with closing(trainer):
        with bar:
            lot_outcome = trainer.submit_lot(lot, body.timeout or DEFAULT_SECONDS)
        if not isinstance(lot_outcome, client.LotAnswered):
            return _report_failure(lot_outcome, arguments.json)
        _write_answer(lot_outcome, arguments)
        acknowledged = trainer.acknowledge(lot, settings.timeout_seconds)
    if not isinstance(acknowledged, client.Acknowledged):
        print_error(
            f"the Lot was answered, but the answer is not acknowledged: {acknowledged}"
        )
        return exit_codes.FAILED
    all_completed = all(
        isinstance(outcome, Completed) for outcome in lot_outcome.outcomes.values()
    )
    return exit_codes.OK if all_completed else exit_codes.FAILED


def read_api_key(path: str | None, environment: Mapping[str, str]) -> str:
    """Return the API key in a file, or else that in the environment; empty if none.

    The key can't be given as an argument, because other users of the machine can see
    the arguments of a process.

    Raises
    ------
    OSError
        When the file can't be read.
    """
    if path is None:
        return environment.get(API_KEY_VARIABLE, "")
    with open(path, encoding="ascii") as file:
        return file.read().strip()


def _read_body(path: str) -> LotBody | None:
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


def _client_lot(body: LotBody) -> client.Lot:
    samples = tuple(
        client.Sample(
            sample.sample,
            sample.payload,
            sample.group,
            sample.max_tokens,
            _client_reward_call(sample.reward_call),
        )
        for sample in body.samples
    )
    return client.Lot(
        lot=body.lot,
        route=body.route,
        model=body.model,
        version=body.version,
        samples=samples,
        bound=body.bound,
        wanted_groups=body.wanted_groups,
    )


def _client_reward_call(body: RewardBody | None) -> client.RewardCall | None:
    return client.RewardCall(body.route, body.path, body.payload) if body else None


# --- answers -----------------------------------------------------------------


def _write_answer(answer: client.LotAnswered, arguments: argparse.Namespace) -> None:
    """Write the answer, which must be stored before it is acknowledged."""
    document = _answer_document(answer)
    if arguments.output:
        _write_file(arguments.output, document)
    elif arguments.json:
        print_json(document)
    else:
        _print_answer(document)
    kinds = Counter(sample["kind"] for sample in document["samples"])
    counts = ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items()))
    print(f"answered by {answer.entry}: {counts}", file=sys.stderr)
    sys.stdout.flush()


def _answer_document(answer: client.LotAnswered) -> dict[str, Any]:
    samples = []
    for name, outcome in answer.outcomes.items():
        kind = "completed" if isinstance(outcome, Completed) else "given_up"
        samples.append({"sample": name, "kind": kind, **asdict(outcome)})
    return {"entry": answer.entry, "samples": samples}


def _write_file(path: str, document: dict[str, Any]) -> None:
    temporary = f"{path}.part"
    with open(temporary, "w", encoding="utf-8") as file:
        json.dump(document, file, indent=2, ensure_ascii=False)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


def _print_answer(document: dict[str, Any]) -> None:
    rows = [
        [
            sample["sample"],
            sample["kind"],
            ",".join(map(str, sample.get("versions", ()))),
            sample.get("score", ""),
            len(sample.get("payload") or ""),
        ]
        for sample in document["samples"]
    ]
    print_table(["sample", "outcome", "versions", "score", "characters"], rows)


def _report_failure(lot_outcome: Any, as_json: bool) -> int:
    name = type(lot_outcome).__name__
    if as_json:
        print_json({"end": name, **asdict(lot_outcome)})
    print_error(f"the Lot was not answered: {lot_outcome}")
    if isinstance(lot_outcome, client.LotUnreached):
        return exit_codes.UNREACHABLE
    return exit_codes.FAILED
