#!/bin/sh
# The one check of the project: tests, formatter, lint, types and import contracts, with the tools of the environment.
set -e
cd "$(dirname "$0")"
python -m pytest -q -n 4 --dist worksteal
python -m ruff format --check .
python -m ruff check .
python -m mypy
lint-imports --no-cache
