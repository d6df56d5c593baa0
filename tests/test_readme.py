"""The example in the README runs unchanged."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_example(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {"__name__": "readme"})
    assert capsys.readouterr().out == "request 42 goes out, to be answered within 0.5 s\n"
