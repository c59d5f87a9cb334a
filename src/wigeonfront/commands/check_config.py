"""``wigeonfront check-config``: check settings and a catalogue file, offline."""

import argparse
import os
from dataclasses import fields
from typing import Any

import msgspec

from wigeonfront.catalogue import BadRow, check
from wigeonfront.commands import exit_codes
from wigeonfront.commands.output import print_error, print_json, print_table
from wigeonfront.commands.rows import BadFile, read_file
from wigeonfront.settings import flag, unknown_variables, variable


def check_config(settings: Any, arguments: argparse.Namespace) -> int:
    """Print the settings with where each comes from, and check the catalogue file.

    The settings were found good before this is called.
    """
    rows = [_describe(settings, each.name, arguments) for each in fields(settings)]
    if arguments.json:
        columns = ("name", "value", "source")
        print_json([dict(zip(columns, row, strict=True)) for row in rows])
    else:
        print_table(["setting", "value", "from"], rows)
    unknown = unknown_variables(os.environ)
    for name in unknown:
        print_error(f"unknown environment variable {name}")
    if arguments.catalogue and not _check_catalogue(arguments.catalogue):
        return exit_codes.USAGE
    return exit_codes.USAGE if unknown else exit_codes.OK


def _describe(settings: Any, name: str, arguments: argparse.Namespace) -> list[str]:
    value = getattr(settings, name)
    text = ",".join(map(str, value)) if isinstance(value, tuple) else str(value)
    if getattr(arguments, name) is not None:
        return [name, text, flag(name)]
    return [name, text, variable(name) if variable(name) in os.environ else "default"]


def _check_catalogue(path: str) -> bool:
    rows = read_file(path)
    if isinstance(rows, BadFile):
        print_error(rows.reason)
        return False
    good = True
    for row in rows:
        checked = check(msgspec.json.encode(row.row))
        if isinstance(checked, BadRow):
            print_error(f"{path}: {row.entry}: {checked.reason}")
            good = False
    return good
