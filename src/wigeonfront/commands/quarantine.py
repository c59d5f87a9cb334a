"""``wigeonfront quarantine list`` and ``release``: manage quarantined requests."""

import argparse
from urllib.parse import quote

from wigeonfront.api.quarantine import QUARANTINE_PATH
from wigeonfront.commands import exit_codes
from wigeonfront.commands.calls import Response, call
from wigeonfront.commands.output import (
    print_document,
    print_json,
    print_objects,
    report_failure,
)
from wigeonfront.settings import OperatorSettings


def show(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Print the requests during which targets crashed."""
    answer = call(settings, "GET", QUARANTINE_PATH)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
    elif answer.data["suspects"]:
        print_objects(answer.data["suspects"])
    return exit_codes.OK


def release(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Allow a request to be sent to targets again."""
    path = f"{QUARANTINE_PATH}/{quote(arguments.fingerprint, safe='')}"
    answer = call(settings, "DELETE", path)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
    else:
        print_document(answer.data)
    return exit_codes.OK
