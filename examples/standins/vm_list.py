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
    """The VMs, and the viewer that sees them so (empty: all others)."""

    vms: list[VmRow] = []
    view: str = ""


class VmList(StandIn):
    """A list edited by ``POST /vms`` or kept in a file, shown ``--lag`` late.

    A caller whose base URL ends in ``/view/V`` sees the list posted for the view
    V, if there is one, so that a test can lead one entry through a relay.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._lag = arguments.lag
        self._file = Path(arguments.file) if arguments.file else None
        self._read_at = 0.0
        self._versions: dict[str, list[tuple[float, Vms]]] = {}
        self._lock = threading.Lock()

    def routes(self) -> dict[str, Handler]:
        """Return the routes of the VM list."""
        return {
            "GET /vms": self._show,
            "POST /vms": self._edit,
            "GET /view/*": self._show,
        }

    def _edit(self, call: Call) -> Reply:
        self._add(call.read(Vms))
        return Reply({"lag": self._lag})

    def _add(self, vms: Vms) -> None:
        with self._lock:
            versions = self._versions.setdefault(vms.view, [])
            versions.append((time.monotonic(), vms))

    def _read_file(self) -> None:
        if self._file is None or not self._file.exists():
            return
        modified = self._file.stat().st_mtime
        if modified > self._read_at:
            self._read_at = modified
            self._add(msgspec.json.decode(self._file.read_bytes(), type=Vms))

    def _show(self, call: Call) -> Reply:
        self._read_file()
        view = call.path.removeprefix("/view/").split("/")[0]
        shown_until = time.monotonic() - self._lag
        with self._lock:
            versions = self._versions.get(view) or self._versions.get("", [])
        shown = [vms for at, vms in versions if at <= shown_until]
        first = [vms for _, vms in versions[:1]]
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
