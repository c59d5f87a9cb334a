"""What one process costs, measured on real processes, for ``docs/CAPACITY.md``.

``python -m benchmarks.capacity --what all`` starts entries, sides and stand-ins on
this machine, loads them, and prints slopes: processor time, memory and bytes for
each peer, request, sample, attempt, key, catalogue row and slot.

Processor time is read from the kernel's clock of the other process (the clock behind
``/proc/PID/stat``, without its rounding to 10 ms), resident memory from
``/proc/PID/smaps_rollup``, bytes from a relay that counts what it passes on.
"""
