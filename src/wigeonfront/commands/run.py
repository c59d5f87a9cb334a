"""``wigeonfront entry``, ``side`` and ``storage``: run the process of a role."""

import argparse
import os
import signal
import sys
from importlib import import_module

from wigeonfront import allocator
from wigeonfront.commands import exit_codes
from wigeonfront.node.loading import node_settings
from wigeonfront.node.settings import NodeSettings
from wigeonfront.observability import logs
from wigeonfront.settings import (
    PLATFORM_FILE_VARIABLE,
    BadSetting,
    EntrySettings,
    ProcessSettings,
    Rejected,
    SideSettings,
    StorageSettings,
)

LOG_FLUSH_SECONDS = 0.3
"""Longest wait until the last log lines are written."""

_MODULES = {
    EntrySettings: "wigeonfront.node.entry",
    SideSettings: "wigeonfront.node.side",
    StorageSettings: "wigeonfront.node.storage",
}


def run(given: ProcessSettings, arguments: argparse.Namespace) -> int:
    """Run the process and exit; return an exit code only if it can't start."""
    settings = resolve_settings(given)
    if isinstance(settings, Rejected):
        for error in settings.errors:
            print(f"wigeonfront: {error}", file=sys.stderr)
        return exit_codes.USAGE
    # The signal asks for a reload. It is ignored, because the process follows all that
    # may change in the platform's store.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    allocator.separate_large_blocks()
    logs.configure(settings.name, settings.log_level)
    code = import_module(_MODULES[type(given)]).run(settings)
    logs.flush(LOG_FLUSH_SECONDS)
    # A normal exit would wait for threads that are blocked on a silent connection.
    os._exit(code)


def resolve_settings(given: ProcessSettings) -> NodeSettings | Rejected:
    """Return the settings of a process, including those from a platform's file."""
    path = os.environ.get(PLATFORM_FILE_VARIABLE, "")
    if not path:
        return node_settings(given, None)
    # Imported here because the module is needed only where a platform gives a file.
    from wigeonfront.platform.boot import read_boot

    try:
        from_platform = read_boot(path)
    except ValueError as error:
        bad = BadSetting("file", PLATFORM_FILE_VARIABLE, path, f"a valid file: {error}")
        return Rejected((bad,))
    return node_settings(given, from_platform)
