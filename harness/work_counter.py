"""How much work something is, without a clock: the byte codes of Python that it runs."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_opcodes(action: Callable[[], object]) -> int:
    """Run something and return how many byte codes it took, in all that it called.

    What C code loops over alone (`sorted`, `list`) counts as one.
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
