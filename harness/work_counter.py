"""Measure of work without a clock: the number of Python byte codes that an action executes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_opcodes(action: Callable[[], object]) -> int:
    """Run an action and return the number of byte codes that it and its callees execute.

    A loop within C code (`sorted`, `list`) counts as one byte code.
    """
    count = 0

    def trace(frame: FrameType, event: str, _argument: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(previous)
    return count
