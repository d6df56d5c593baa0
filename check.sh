#!/bin/sh
# The one check of the project: tests, lint and types, with the tools of the current environment.
set -e
cd "$(dirname "$0")"
python -m pytest -q
python -m ruff check .
python -m mypy
