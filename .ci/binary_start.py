"""Starts the program from the single file; shiv runs this once it has unpacked it.

The archive's loader is replaced, in the same process, by a plain interpreter, so that
none of it stays in memory. That interpreter finds only the packages of the archive,
whatever ``PYTHONPATH`` the caller has.
"""

import os
import sys

# Given by shiv's loader.
packages = globals()["site_packages"]

os.environ["PYTHONPATH"] = str(packages)
interpreter = [sys.executable, "-P", "-m", "wigeonfront"]
os.execv(sys.executable, [*interpreter, *sys.argv[1:]])
