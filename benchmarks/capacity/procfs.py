"""What the kernel says about another process."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

KIB = 1024
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
CPU_CLOCK = 2
"""The clock of a whole process, as `clock_getcpuclockid` numbers it."""


@dataclass(frozen=True, slots=True)
class Memory:
    """Memory of a process in bytes; `shared` pages are counted in part in `pss`."""

    rss: int
    pss: int


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process used up to the monotonic time `at`; `cpu` in seconds."""

    cpu: float
    at: float
    memory: Memory
    threads: int


def cpu_seconds(pid: int) -> float:
    """Return the processor time that `pid` has used, in all its threads."""
    return time.clock_gettime((~pid << 3) | CPU_CLOCK)


def cpu_seconds_of_stat(pid: int) -> float:
    """Return the same from ``/proc/PID/stat``, in steps of a clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_SECOND


def memory(pid: int) -> Memory:
    """Return the resident memory of `pid`."""
    sizes = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, _, rest = line.partition(":")
        sizes[name] = int(rest.split()[0]) * KIB
    return Memory(sizes["Rss"], sizes["Pss"])


def threads(pid: int) -> int:
    """Return the number of threads of `pid`."""
    return len(os.listdir(f"/proc/{pid}/task"))


def usage(pid: int) -> Usage:
    """Return what `pid` has used until now."""
    return Usage(cpu_seconds(pid), time.monotonic(), memory(pid), threads(pid))
