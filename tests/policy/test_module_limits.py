"""Limits that keep the decision module readable and free of I/O, and completeness of the deploy file."""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path

import pytest
from source_files import parse_source

ROOT = Path(__file__).parent.parent.parent
POLICY = ROOT / "service_proxy" / "policy"
MODULES = sorted(POLICY.glob("*.py"))
MAX_MODULE_LINES = 499
MAX_FUNCTION_LINES = 39
MAX_LINE_LENGTH = 110
# Modules of the standard library that the policy may import, because they perform no I/O and read no clock.
PURE_MODULES = {"__future__", "bisect", "collections", "dataclasses", "enum", "math", "random", "typing"}


def tree_of(module: Path) -> ast.Module:
    return parse_source(module)


def imported_names(module: Path) -> set[str]:
    names = set()
    for node in ast.walk(tree_of(module)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module is not None, f"{module.name} imports relatively"
            names.add(node.module)
    return names


def test_deploy_file_lists_all_policy_modules_and_nothing_else() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert sorted(ROOT / name for name in deploy["policy"]) == MODULES
    assert len(MODULES) > 20


def test_deploy_file_lists_all_that_a_node_runs() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    listed = [ROOT / name for name in deploy["node"] + deploy["policy"]]
    assert all(path.exists() for path in listed)
    # The public API, and the adapter that only the simulator starts.
    unlisted = {"__init__.py", "simulator_adapter.py"}
    for path in sorted((ROOT / "service_proxy").rglob("*.py")):
        assert path.relative_to(ROOT / "service_proxy").as_posix() in unlisted or any(
            path == one or one in path.parents for one in [*listed, ROOT / "service_proxy" / "sidecar"]
        ), f"{path} is not listed"


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)
def test_policy_module_is_short(module: Path) -> None:
    lines = module.read_text("utf-8").splitlines()
    assert 0 < len(lines) <= MAX_MODULE_LINES
    assert max(map(len, lines)) <= MAX_LINE_LENGTH
    for node in ast.walk(tree_of(module)):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            assert node.end_lineno is not None
            length = node.end_lineno - node.lineno + 1
            assert length <= MAX_FUNCTION_LINES, f"{node.name} has {length} lines"


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)
def test_policy_module_performs_no_io(module: Path) -> None:
    for name in imported_names(module):
        is_own = name.startswith("service_proxy.policy.")
        assert is_own or name.partition(".")[0] in PURE_MODULES, f"{module.name} imports {name}"
        assert is_own or name.partition(".")[0] in sys.stdlib_module_names
    calls = [node.func for node in ast.walk(tree_of(module)) if isinstance(node, ast.Call)]
    called = {function.id for function in calls if isinstance(function, ast.Name)}
    assert not called & {"open", "print", "input", "exec", "eval", "__import__"}


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)
def test_policy_module_has_a_docstring(module: Path) -> None:
    documentation = ast.get_docstring(tree_of(module))
    assert documentation and len(documentation.splitlines()[0]) >= 30


def test_docstring_of_the_balancer_names_its_interface_modules() -> None:
    first_line = (POLICY / "balancer.py").read_text("utf-8").split("\n")[0]
    assert "policy/events.py" in first_line and "policy/actions.py" in first_line
