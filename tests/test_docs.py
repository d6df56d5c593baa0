"""Modules, classes, functions, tests and links that the pages name exist."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path

import pytest
from source_files import parse_source

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "service_proxy"
PAGES = [
    "README.md",
    "CONTRIBUTING.md",
    *(str(p.relative_to(ROOT)) for p in sorted((ROOT / "docs").rglob("*.md"))),
]
# Pages of past measurements, which keep the names of their time.
PAST_MEASUREMENTS = "docs/measurements/"
SPAN = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
PATH = re.compile(r"[\w./-]+\.(?:py|toml|md|sh|txt)|[\w./-]+/")
NAME = re.compile(r"_?[A-Z]\w+(?:\.\w+)?|\w+\.[a-z_]\w+")


@cache
def defined_names() -> frozenset[str]:
    """Return all classes, functions and constants of the package.

    The forms are NAME, CLASS.MEMBER and MODULE.NAME.
    """
    names: set[str] = set()
    for file in PACKAGE.rglob("*.py"):
        for node in parse_source(file).body:
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                names |= {node.name, f"{file.stem}.{node.name}"}
            if isinstance(node, ast.ClassDef):
                names |= {f"{node.name}.{member}" for member in members(node)}
            if isinstance(node, ast.Assign):
                names |= {target.id for target in node.targets if isinstance(target, ast.Name)}
    return frozenset(names)


def members(node: ast.ClassDef) -> set[str]:
    found = {part.name for part in node.body if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef)}
    for part in ast.walk(node):
        if isinstance(part, ast.AnnAssign) and isinstance(part.target, ast.Name):
            found.add(part.target.id)
        if isinstance(part, ast.Attribute) and isinstance(part.ctx, ast.Store):
            found.add(part.attr)
    return found


def exists(path: str) -> bool:
    # KNOWN-RED.txt exists only while it is needed.
    if "*" in path or path.startswith(("/", "..")) or path == "KNOWN-RED.txt":
        return True
    if (ROOT / path).exists() or (PACKAGE / path).exists():
        return True
    # A page may name a module by its file name alone, after the page has named the module's folder.
    return "/" not in path.rstrip("/") and any(PACKAGE.rglob(path.rstrip("/")))


@pytest.mark.parametrize("page", [page for page in PAGES if not page.startswith(PAST_MEASUREMENTS)])
def test_link_targets_exist(page: str) -> None:
    text = (ROOT / page).read_text(encoding="utf-8")
    targets = [target for target in LINK.findall(text) if "://" not in target]
    assert [target for target in targets if not (ROOT / page).parent.joinpath(target).exists()] == []


@pytest.mark.parametrize("page", ["docs/ARCHITECTURE.md", "CONTRIBUTING.md", "README.md"])
def test_paths_exist(page: str) -> None:
    spans = SPAN.findall((ROOT / page).read_text(encoding="utf-8"))
    paths = [span for span in spans if PATH.fullmatch(span)]
    assert [path for path in paths if not exists(path)] == []


def names_of_tests() -> set[str]:
    """Return the names of all tests without `test_`."""
    found: set[str] = set()
    for file in (ROOT / "tests").rglob("test_*.py"):
        found |= set(re.findall(r"def test_(\w+)\(", file.read_text(encoding="utf-8")))
    return found


@pytest.mark.parametrize("page", ["docs/ARCHITECTURE.md", "docs/design/endings.md"])
def test_a_page_names_what_is_defined(page: str) -> None:
    text = (ROOT / page).read_text(encoding="utf-8")
    names = {name for span in SPAN.findall(text) for name in [span.partition("(")[0]] if NAME.fullmatch(name)}
    names = {name for name in names if not PATH.fullmatch(name) and not name.startswith("sys.")}
    unknown = names - defined_names()
    assert unknown == set()


def test_each_row_of_the_endings_names_tests_that_exist() -> None:
    text = (ROOT / "docs" / "design" / "endings.md").read_text(encoding="utf-8")
    rows = [line.split("|")[4] for line in text.splitlines() if line.count("|") == 5 and "`" in line]
    named = {name for cell in rows for name in SPAN.findall(cell)}
    assert len(named) > 40 and named - names_of_tests() == set()
