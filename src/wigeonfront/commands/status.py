"""``wigeonfront status``: what an entry knows of the system."""

import argparse

from wigeonfront.commands import exit_codes
from wigeonfront.commands.api import STATUS_PATH, Response, call
from wigeonfront.commands.output import print_document, print_json, report_failure
from wigeonfront.settings import OperatorSettings


def status(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Print members, sides and revisions."""
    answer = call(settings, "GET", STATUS_PATH)
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
    else:
        print_document(answer.data)
    return exit_codes.OK
