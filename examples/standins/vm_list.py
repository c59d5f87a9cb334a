"""Stand-in for the platform's VM list, which shows the truth late."""

import argparse
import threading
import time
from pathlib import Path

import msgspec

from standins.server import Call, Handler, Reply, StandIn, parser


class VmRow(msgspec.Struct):
    """One VM, as the interface names it."""

    name: str
    role: str
    service: str
    failure_domain: str
    address: str
    leaving: bool = False


class Vms(msgspec.Struct):
    """Body of ``POST /vms`` and of the file."""

    vms: list[VmRow] = []


class VmList(StandIn):
    """A list edited by ``POST /vms`` or kept in a file, shown ``--lag`` late."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._lag = arguments.lag
        self._file = Path(arguments.file) if arguments.file else None
        self._read_at = 0.0
        self._versions: list[tuple[float, Vms]] = []
        self._lock = threading.Lock()

    def routes(self) -> dict[str, Handler]:
        """Return the routes of the VM list."""
        return {"GET /vms": self._show, "POST /vms": self._edit}

    def _edit(self, call: Call) -> Reply:
        self._add(call.read(Vms))
        return Reply({"lag": self._lag})

    def _add(self, vms: Vms) -> None:
        with self._lock:
            self._versions.append((time.monotonic(), vms))

    def _read_file(self) -> None:
        if self._file is None or not self._file.exists():
            return
        modified = self._file.stat().st_mtime
        if modified > self._read_at:
            self._read_at = modified
            self._add(msgspec.json.decode(self._file.read_bytes(), type=Vms))

    def _show(self, call: Call) -> Reply:
        self._read_file()
        shown_until = time.monotonic() - self._lag
        with self._lock:
            shown = [vms for at, vms in self._versions if at <= shown_until]
            first = [vms for _, vms in self._versions[:1]]
        newest = (shown or first or [Vms()])[-1]
        return Reply({"vms": newest.vms})


def main() -> None:
    """Run the VM list."""
    flags = parser("vm_list", __doc__)
    flags.add_argument("--lag", type=float, default=0.0, help="seconds behind")
    flags.add_argument("--file", default="", help="JSON file with the VMs")
    VmList(flags.parse_args()).serve()


if __name__ == "__main__":
    main()
