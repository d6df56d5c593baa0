"""Runs a module as if its machine's clocks were others: a wall clock that is off or steps, another
monotonic one.

    python -m harness.skew [--wall S] [--step S --at S] [--monotonic S] [--steer FILE] MODULE [ARGUMENT...]

`--wall`: seconds that the wall clock is ahead; `--step`, `--at`: so much more from so many seconds after
the start;
`--monotonic`: seconds that the monotonic clock is ahead, as on a machine that was started earlier. `--steer`:
a file of two doubles, s on the wall clock and s on what `service_proxy.clock` reads of the monotonic one,
which another process may turn at any time.
The machine's
clocks stay as they are: only what this process reads through `time` is changed. For MODULE's own clock
reads, not
for the kernel's time-outs.
"""

from __future__ import annotations

import argparse
import mmap
import runpy
import struct
import sys
import time

STEER = struct.Struct("!dd")


def steered(file: str) -> None:
    """From now on the file says how far this process's clocks are off."""
    from service_proxy.clock import Clock

    with open(file, "rb") as source:
        said = mmap.mmap(source.fileno(), STEER.size, prot=mmap.PROT_READ)
    real_wall = time.time
    real_now = Clock.monotonic
    time.time = lambda: real_wall() + STEER.unpack_from(said)[0]
    Clock.monotonic = lambda self: real_now(self) + STEER.unpack_from(said)[1]  # type: ignore[method-assign]


def skew(wall: float, step: float, at: float, monotonic: float) -> None:
    real_wall = time.time
    real_monotonic = time.monotonic
    begun = real_monotonic()

    def skewed_wall() -> float:
        stepped = step if real_monotonic() >= begun + at else 0.0
        return real_wall() + wall + stepped

    time.time = skewed_wall
    time.monotonic = lambda: real_monotonic() + monotonic


def main(argv: list[str] | None = None) -> None:
    parser = argparse.ArgumentParser(
        prog="python -m harness.skew",
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
    wanted = parser.parse_args(argv)
    skew(wanted.wall, wanted.step, wanted.at, wanted.monotonic)
    if wanted.steer:
        steered(wanted.steer)
    sys.argv = [wanted.module, *wanted.arguments]
    runpy.run_module(wanted.module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
