"""The command line: ``wigeonfront entry``, ``side``, ``storage``, operators' commands.

The module of a role or command is imported only when it is run, so that a process
loads only the code that it uses.
"""

import argparse
import os
import sys
from collections.abc import Sequence
from importlib import import_module

from wigeonfront import __version__, openssl
from wigeonfront.commands import exit_codes
from wigeonfront.settings import (
    EntrySettings,
    OperatorSettings,
    Rejected,
    SideSettings,
    StorageSettings,
    add_flags,
    load,
)

_COMMANDS = "wigeonfront.commands."
_ROLES = (
    ("entry", "run an entry, which takes calls and runs Lots", EntrySettings),
    ("side", "run a side, which gives orders to its engine", SideSettings),
    ("storage", "run a storage process, which uses a disk", StorageSettings),
)
_SETTINGS_NOTE = (
    "Each setting is a flag and an environment variable: --drain-seconds and "
    "WIGEONFRONT_DRAIN_SECONDS. The flag goes first. Where a platform lays down a "
    "file and names it in WIGEONFRONT_BOOT, the file gives the rest."
)


def main(argv: Sequence[str] | None = None) -> int:
    """Parse the command line and run the command.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments without the program name; those of the process by default.

    Returns
    -------
    int
        Exit code, see `wigeonfront.commands.exit_codes`.
    """
    parser = build_parser()
    try:
        arguments = parser.parse_args(argv)
        return _run(arguments)
    except KeyboardInterrupt:
        return exit_codes.INTERRUPTED
    except BrokenPipeError:
        # The reader of the output has closed it. Redirect what is still buffered, so
        # that the interpreter doesn't fail again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exit_codes.FAILED
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else exit_codes.USAGE


def _run(arguments: argparse.Namespace) -> int:
    settings = load(arguments.role, vars(arguments), os.environ)
    if isinstance(settings, Rejected):
        for error in settings.errors:
            print(f"wigeonfront: {error}", file=sys.stderr)
        return exit_codes.USAGE
    openssl.block_imports()
    module, _, function = arguments.handler.partition(":")
    handler = getattr(import_module(_COMMANDS + module), function)
    return handler(settings, arguments)


# --- parser ------------------------------------------------------------------


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all subcommands."""
    parser = argparse.ArgumentParser(
        prog="wigeonfront",
        description="A rollout service for reinforcement learning.",
        epilog=exit_codes.HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = _subcommands(parser)
    for name, help, role in _ROLES:
        _add_role(commands, name, help, role, "run:run")
    _add_catalogue(commands)
    _add_inspection(commands)
    _add_quarantine(commands)
    _add_check_config(commands)
    _add_lot(commands)
    return parser


def _subcommands(parser: argparse.ArgumentParser) -> argparse._SubParsersAction:
    return parser.add_subparsers(metavar="COMMAND", required=True)


def _command(
    commands: argparse._SubParsersAction, name: str, help: str, description: str = ""
) -> argparse.ArgumentParser:
    return commands.add_parser(
        name, help=help, description=description or help, allow_abbrev=False
    )


def _add_role(
    commands: argparse._SubParsersAction, name: str, help: str, role: type, handler: str
) -> argparse.ArgumentParser:
    parser = _command(commands, name, help, f"{help}. {_SETTINGS_NOTE}")
    add_flags(parser, role)
    parser.set_defaults(role=role, handler=handler)
    return parser


def _add_operation(
    commands: argparse._SubParsersAction, name: str, help: str, handler: str
) -> argparse.ArgumentParser:
    parser = _add_role(commands, name, help, OperatorSettings, handler)
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of a table"
    )
    return parser


def _add_catalogue(commands: argparse._SubParsersAction) -> None:
    catalogue = _command(commands, "catalogue", "read and change the catalogue")
    actions = _subcommands(catalogue)
    _add_operation(actions, "get", "print the document", "catalogue:get")
    apply = _add_operation(
        actions,
        "apply",
        "write a document and wait until it is in force",
        "catalogue:apply",
    )
    _add_file(apply)
    apply.add_argument(
        "--expected",
        metavar="REVISION",
        type=int,
        help="revision on which the file is based (default: the current one)",
    )
    apply.add_argument(
        "--wait",
        metavar="SECONDS",
        type=float,
        default=30.0,
        help="longest wait until it is in force everywhere (default 30)",
    )
    diff = _add_operation(
        actions, "diff", "show what apply would change", "catalogue:diff"
    )
    _add_file(diff)
    _add_operation(
        actions, "history", "list the versions that were applied", "catalogue:history"
    )


def _add_file(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "file", metavar="FILE", help="the document as JSON; '-' for standard input"
    )


def _add_inspection(commands: argparse._SubParsersAction) -> None:
    _add_operation(
        commands,
        "status",
        "show members, targets, versions and Lots",
        "status:status",
    )
    _add_operation(
        commands, "drain", "have an entry finish its work and stop", "drain:drain"
    )
    explain = _add_operation(
        commands,
        "explain",
        "show the events of a request, a Lot or a sample",
        "explain:explain",
    )
    explain.add_argument(
        "request", metavar="ID", help="id of the request, Lot or sample"
    )
    explain.add_argument(
        "--log",
        metavar="FILE",
        nargs="+",
        default=[],
        help="log files to search (default: ask the entries)",
    )


def _add_quarantine(commands: argparse._SubParsersAction) -> None:
    quarantine = _command(
        commands,
        "quarantine",
        "manage requests that are blocked because they crash targets",
    )
    actions = _subcommands(quarantine)
    _add_operation(
        actions,
        "list",
        "list the requests during which targets crashed",
        "quarantine:show",
    )
    release = _add_operation(
        actions,
        "release",
        "allow a request to be sent to targets again",
        "quarantine:release",
    )
    release.add_argument(
        "fingerprint", metavar="FINGERPRINT", help="fingerprint of the request"
    )


def _add_check_config(commands: argparse._SubParsersAction) -> None:
    parser = _command(
        commands,
        "check-config",
        "check the settings of a role and a catalogue file",
        "Check the settings with which a role would start.",
    )
    roles = _subcommands(parser)
    named = [(name, role) for name, _, role in _ROLES]
    for name, role in (*named, ("operator", OperatorSettings)):
        check = _add_operation_of(roles, name, role)
        check.add_argument("--json", action="store_true", help="print JSON")
        check.add_argument(
            "--catalogue", metavar="FILE", help="also check this catalogue file"
        )


def _add_operation_of(
    roles: argparse._SubParsersAction, name: str, role: type
) -> argparse.ArgumentParser:
    help = f"check the settings of {name}"
    return _add_role(roles, name, help, role, "check_config:check_config")


def _add_lot(commands: argparse._SubParsersAction) -> None:
    lot = _command(commands, "lot", "submit Lots as a trainer")
    actions = _subcommands(lot)
    submit = _add_operation(
        actions,
        "submit",
        "submit a Lot, wait for its answer and acknowledge the answer",
        "lot:submit",
    )
    submit.add_argument(
        "file", metavar="FILE", help="the Lot as JSON; '-' for standard input"
    )
    submit.add_argument(
        "--api-key-file",
        metavar="FILE",
        help="file with the API key (default: the variable WIGEONFRONT_API_KEY)",
    )
    submit.add_argument(
        "--output",
        metavar="FILE",
        help="write the answer to this file, not to standard output",
    )
