"""``wigeonfront check-config``: check settings and a catalogue file offline."""

import argparse
import os
from dataclasses import fields, is_dataclass
from typing import Any

from wigeonfront.api.operations import BadDocument
from wigeonfront.commands import exit_codes
from wigeonfront.commands.documents import BadFile, read_document
from wigeonfront.commands.output import print_error, print_json, print_table
from wigeonfront.commands.run import resolve_settings
from wigeonfront.settings import ProcessSettings, Rejected, unknown_variables


def check_config(settings: Any, arguments: argparse.Namespace) -> int:
    """Print the settings with which a role would start, and check a catalogue file.

    `wigeonfront.cli` has already checked the value of each setting.
    """
    if isinstance(settings, ProcessSettings):
        settings = resolve_settings(settings)
    if isinstance(settings, Rejected):
        for error in settings.errors:
            print_error(str(error))
        return exit_codes.USAGE
    rows = list(_describe(settings))
    if arguments.json:
        print_json([{"name": name, "value": value} for name, value in rows])
    else:
        print_table(["setting", "value"], rows)
    unknown = unknown_variables(os.environ)
    for name in unknown:
        print_error(f"unknown environment variable {name}")
    catalogue_accepted = not arguments.catalogue or _check_catalogue(
        arguments.catalogue
    )
    return exit_codes.OK if catalogue_accepted and not unknown else exit_codes.USAGE


def _describe(settings: Any) -> list[tuple[str, str]]:
    found = []
    for field in fields(settings):
        value = getattr(settings, field.name)
        if is_dataclass(value) and not hasattr(value, "port"):
            found += _describe(value)
        elif isinstance(value, tuple):
            found.append((field.name, ",".join(map(str, value))))
        else:
            found.append((field.name, str(value)))
    return found


def _check_catalogue(path: str) -> bool:
    document = read_document(path)
    if isinstance(document, BadFile):
        print_error(document.reason)
        return False
    # Imported here because only this check needs the platform's adapter.
    from wigeonfront.platform.catalogue import PlatformCatalogue

    found = PlatformCatalogue().decode(document)
    if isinstance(found, BadDocument):
        print_error(f"{path}: {found.reason}")
        return False
    return True
