"""Has the C library give large blocks of memory back as soon as they are free.

The GNU C library takes large blocks from the system one by one, but once one of them
was freed it serves blocks of that size from its heaps, one for each of many threads.
There a freed body leaves a gap that only its own threads can use again, and the memory
of the process grows far beyond what it holds.
"""

import ctypes

M_MMAP_THRESHOLD = -3
"""Parameter of the GNU C library's ``mallopt``."""

LARGE_BLOCK_BYTES = 256 * 1024
"""Size from which on a block is taken from the system by itself."""


def separate_large_blocks() -> bool:
    """Take large blocks from the system one by one, whatever was freed before.

    Returns
    -------
    bool
        Whether the C library has such a setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except AttributeError:
        return False
    return mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES) == 1
