#!/bin/sh
# Checks the stand-ins of the scripts: they need only Python and its standard library.
set -eu
cd "$(dirname "$0")"
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 python3 -c \
    "import standins.client, standins.engine, standins.record, standins.system"
