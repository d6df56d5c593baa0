"""Run a module with skewed clocks, which can have an offset, step once, or follow a file.

    python -m harness.clock_skew [--wall S] [--step S --at S] [--monotonic S] [--steer FILE] MODULE [ARG...]

`--wall`: seconds by which the wall clock is ahead. `--step`, `--at`: additional seconds, and the time after
the start at which the wall clock steps by them. `--monotonic`: seconds by which the monotonic clock is ahead,
as on a machine that booted earlier. `--steer`: a file of two doubles, the offsets in seconds of the wall
clock and of the monotonic clock that `service_proxy.clock` reads; another process may change the file at any
time.

The machine's clocks do not change. Only the times that this process reads through `time` are skewed; the
timeouts of the kernel are not.
"""

from __future__ import annotations

import argparse
import mmap
import runpy
import struct
import sys
import time
from pathlib import Path

from service_proxy.clock import Clock

OFFSETS = struct.Struct("!dd")  # offsets in s of the wall clock and of the monotonic clock


def follow_offsets(file: str) -> None:
    """Skew this process's clocks by the offsets in the file, which is read again at each use."""
    with Path(file).open("rb") as source:
        offsets = mmap.mmap(source.fileno(), OFFSETS.size, prot=mmap.PROT_READ)
    real_wall = time.time
    real_monotonic = Clock.monotonic

    def skewed_wall() -> float:
        return real_wall() + float(OFFSETS.unpack_from(offsets)[0])

    def skewed_monotonic(self: Clock) -> float:
        return real_monotonic(self) + float(OFFSETS.unpack_from(offsets)[1])

    time.time = skewed_wall
    Clock.monotonic = skewed_monotonic  # type: ignore[method-assign]


def apply_skew(wall: float, step: float, step_at: float, monotonic: float) -> None:
    """Skew the clocks that this process reads through `time`; all arguments are in seconds."""
    real_wall = time.time
    real_monotonic = time.monotonic
    started_at = real_monotonic()

    def skewed_wall() -> float:
        stepped = step if real_monotonic() >= started_at + step_at else 0.0
        return real_wall() + wall + stepped

    def skewed_monotonic() -> float:
        return real_monotonic() + monotonic

    time.time = skewed_wall
    time.monotonic = skewed_monotonic


def main(argv: list[str] | None = None) -> None:
    """Skew the clocks, then run the module like `python -m`."""
    parser = argparse.ArgumentParser(
        prog="python -m harness.clock_skew",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--wall", type=float, default=0.0)
    parser.add_argument("--step", type=float, default=0.0)
    parser.add_argument("--at", type=float, default=0.0)
    parser.add_argument("--monotonic", type=float, default=0.0)
    parser.add_argument("--steer", metavar="FILE")
    parser.add_argument("module")
    parser.add_argument("arguments", nargs=argparse.REMAINDER)
    options = parser.parse_args(argv)
    apply_skew(options.wall, options.step, options.at, options.monotonic)
    if options.steer:
        follow_offsets(options.steer)
    sys.argv = [options.module, *options.arguments]
    runpy.run_module(options.module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
