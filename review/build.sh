#!/bin/sh
# Compiles the stand-ins of the cases; they need Python's standard library and the .venv of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins
for case in review/[0-9]*; do
    .venv/bin/python -m py_compile "$case/play.py"
    chmod +x "$case/run.sh"
done
