"""Process that writes a store and prints how many records are durable, until it is killed.

    python -m harness.recovery.store_writer DIRECTORY NAME

It prints a line `safe N` for each durable batch, and ends after a minute if it is not killed.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

from service_proxy.clock import Clock
from service_proxy.recovery.async_store_writer import AsyncStoreWriter
from service_proxy.recovery.persisted_records import EndpointRecord, EndpointSourceRecord
from service_proxy.recovery.store import StoreOwner
from service_proxy.recovery.store_directory import StoreDirectory

LIFETIME_S = 60.0
BATCH_SIZE = 20  # records
ENDPOINT_COUNT = 300
PAUSE_S = 0.001
DURABLE_TIMEOUT_S = 5.0


def main(directory: str, name: str) -> int:
    """Write numbered records until the process is killed, after the last number in the store."""
    clock = Clock()
    writer = AsyncStoreWriter(StoreDirectory(Path(directory)), StoreOwner(name), clock)
    writer.start()
    last = writer.state.tables["source"].get("count")
    number = last.version if isinstance(last, EndpointSourceRecord) else 0
    ends_at = clock.monotonic() + LIFETIME_S
    while clock.monotonic() < ends_at:
        for _ in range(BATCH_SIZE):
            number += 1
            writer.put(
                f"n{number % ENDPOINT_COUNT}", EndpointRecord("10.0.0.1:80", recorded_at=float(number))
            )
            writer.put("count", EndpointSourceRecord(number, float(number)))
        if writer.wait_until_durable(DURABLE_TIMEOUT_S):
            print("safe", number, flush=True)
        time.sleep(PAUSE_S)
    writer.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
