"""``wigeonfront drain``: let an entry finish its work and stop."""

import argparse

from wigeonfront.api.operations import DRAIN_PATH
from wigeonfront.commands import exit_codes
from wigeonfront.commands.calls import Response, call
from wigeonfront.commands.output import print_document, print_json, report_failure
from wigeonfront.settings import OperatorSettings


def drain(settings: OperatorSettings, arguments: argparse.Namespace) -> int:
    """Ask an entry to drain and stop; asking again is harmless."""
    answer = call(settings, "POST", DRAIN_PATH, {})
    if not isinstance(answer, Response) or not answer.successful:
        return report_failure(answer)
    if arguments.json:
        print_json(answer.data)
    else:
        print_document(answer.data)
    return exit_codes.OK
