"""Starts the program from the single file; shiv runs this after it unpacks the file.

A plain interpreter replaces the archive's loader in the same process, so that nothing
of the loader stays in memory. This interpreter finds only the packages of the
archive, whatever ``PYTHONPATH`` the caller has set.
"""

import os
import sys

# Set by shiv's loader.
packages = globals()["site_packages"]

os.environ["PYTHONPATH"] = str(packages)
interpreter = [sys.executable, "-P", "-m", "wigeonfront"]
os.execv(sys.executable, [*interpreter, *sys.argv[1:]])
