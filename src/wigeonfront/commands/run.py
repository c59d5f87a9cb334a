"""``wigeonfront entry``, ``side`` and ``storage``: run a process."""

import argparse
import os
import signal
import sys
from importlib import import_module

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
"""Longest wait for the last log lines to be written."""

_MODULES = {
    EntrySettings: "wigeonfront.node.entry",
    SideSettings: "wigeonfront.node.side",
    StorageSettings: "wigeonfront.node.storage",
}


def run(given: ProcessSettings, arguments: argparse.Namespace) -> int:
    """Run the role and end the process; return only where it can't start."""
    settings = resolved(given)
    if isinstance(settings, Rejected):
        for error in settings.errors:
            print(f"wigeonfront: {error}", file=sys.stderr)
        return exit_codes.USAGE
    # A reload is announced so; what may change is followed in the platform's store.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logs.configure(settings.name, settings.log_level)
    code = import_module(_MODULES[type(given)]).run(settings)
    logs.flush(LOG_FLUSH_SECONDS)
    # Threads that still wait for a silent connection must not keep the process.
    os._exit(code)


def resolved(given: ProcessSettings) -> NodeSettings | Rejected:
    """Return the settings of a process, with what a platform's file says."""
    path = os.environ.get(PLATFORM_FILE_VARIABLE, "")
    if not path:
        return node_settings(given, None)
    # Imported only where there is such a platform.
    from wigeonfront.platform.boot import read_boot

    try:
        from_platform = read_boot(path)
    except ValueError as error:
        bad = BadSetting("file", PLATFORM_FILE_VARIABLE, path, f"a good file: {error}")
        return Rejected((bad,))
    return node_settings(given, from_platform)
