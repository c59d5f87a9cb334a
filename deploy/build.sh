#!/bin/sh
# Installs the libraries and the program below target/deps; the libraries only when
# the list of them has changed.
set -eu
cd "$(dirname "$0")/.."

mkdir -p target/deps
if ! cmp -s pyproject.toml target/pyproject.built; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps .
    cp pyproject.toml target/pyproject.built
fi
# Unchanged files stay in place: processes of an earlier build may be using them.
if ! diff -rq --exclude=__pycache__ src/wigeonfront target/deps/wigeonfront \
    > /dev/null 2>&1; then
    rm -rf target/deps/wigeonfront build
    cp -r src/wigeonfront target/deps/wigeonfront
    python3 -m compileall -q target/deps
fi
