#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and review/5 start, below
# target/review-2: the project's own and those of this review (standin2_*.py).
set -eu
cd "$(dirname "$0")/.."

rm -rf target/review-2
mkdir -p target/review-2
cp -r examples/platform_standins target/review-2/platform_standins
cp review/standin2_*.py target/review-2/
PYTHONPATH=target/deps:target/review-2 python3 -m compileall -q target/review-2
