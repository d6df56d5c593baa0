"""Parser of the project's source files for tests of their form."""

from __future__ import annotations

import ast
import gc
from pathlib import Path


def parse_source(file: Path) -> ast.Module:
    """Return the syntax tree of a file.

    The garbage collector is off meanwhile: CPython 3.11 raises SystemError ("AST constructor recursion depth
    mismatch") if a collection runs a finalizer that parses, as the report of an exception in `__del__` does.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(file.read_text(encoding="utf-8"))
    finally:
        if was_enabled:
            gc.enable()
