"""Runs the command line as ``python -m wigeonfront``."""

import sys

from wigeonfront.cli import main

if __name__ == "__main__":
    sys.exit(main())
