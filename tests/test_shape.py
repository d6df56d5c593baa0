"""Modules have at most 500 lines, and functions at most 40."""

from __future__ import annotations

import ast
from pathlib import Path

from source_files import parse_source

ROOT = Path(__file__).parent.parent
FOLDERS = ("service_proxy", "granitepoint", "harness", "benchmarks")
MAX_MODULE_LINES = 500
MAX_FUNCTION_LINES = 40
# Functions above the limit, each with its reason. An entry that is no longer needed fails the test.
LONG_FUNCTIONS = {
    "harness/recovery/crash_points.py:record_store_run": "one recorded run, in the order of its steps",
}


def modules() -> list[Path]:
    return [file for folder in FOLDERS for file in sorted((ROOT / folder).rglob("*.py"))]


def name_of(file: Path) -> str:
    return str(file.relative_to(ROOT))


def long_functions(file: Path) -> list[str]:
    found = []

    def visit(node: ast.AST, prefix: str) -> None:
        for child in ast.iter_child_nodes(node):
            if isinstance(child, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                name = f"{prefix}{child.name}"
                is_function = not isinstance(child, ast.ClassDef)
                if is_function and (child.end_lineno or 0) - child.lineno + 1 > MAX_FUNCTION_LINES:
                    found.append(f"{name_of(file)}:{name}")
                visit(child, f"{name}.")
            else:
                visit(child, prefix)

    visit(parse_source(file), "")
    return found


def test_modules_are_short() -> None:
    long_modules = {
        name_of(file) for file in modules() if file.read_text("utf-8").count("\n") > MAX_MODULE_LINES
    }
    assert long_modules == set()


def test_functions_are_short() -> None:
    assert {name for file in modules() for name in long_functions(file)} == set(LONG_FUNCTIONS)
