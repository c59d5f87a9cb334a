#!/bin/sh
# Checks the stand-ins of the scripts: they need only Python and its standard library.
set -eu
cd "$(dirname "$0")"
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 python3 -c \
    "import standin_client, standin_engine, standin_record, standin_system"
