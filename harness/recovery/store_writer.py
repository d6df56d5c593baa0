"""A process that keeps a store and says how much of it is safe, until it is killed.

    python -m harness.recovery.store_writer FOLDER NAME

A line `safe N` for each batch; it ends by itself after a minute.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

from service_proxy.clock import Clock
from service_proxy.recovery.async_store_writer import Keeper
from service_proxy.recovery.persisted_records import Server, Source
from service_proxy.recovery.store import Owner
from service_proxy.recovery.store_directory import Folder

LIFE = 60.0  # s


def main(folder: str, name: str) -> int:
    clock = Clock()
    kept = Keeper(Folder(Path(folder)), Owner(name), clock)
    kept.start()
    before = kept.state.tables["source"].get("count")
    number = before.version if isinstance(before, Source) else 0
    ends = clock.monotonic() + LIFE
    while clock.monotonic() < ends:
        for _ in range(20):
            number += 1
            kept.put(f"n{number % 300}", Server("10.0.0.1:80", at=float(number)))
            kept.put("count", Source(number, float(number)))
        if kept.settle(5.0):
            print("safe", number, flush=True)
        time.sleep(0.001)
    kept.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
