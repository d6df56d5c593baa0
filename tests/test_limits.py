"""The limits that the decision module keeps: an auditor reads it once a year and bills by the page."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_policy_files_are_short() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    lines = [line for name in deploy["policy"] for line in (ROOT / name).read_text("utf-8").splitlines()]
    assert 0 < sum(1 for line in lines if line.strip()) <= 1200
    assert max(map(len, lines)) <= 110


def test_module_names_its_interface_at_the_top() -> None:
    module = ROOT / "service_proxy" / "policy" / "balancer.py"
    assert "service_proxy/policy/events.py" in module.read_text("utf-8").split("\n")[0]
