"""Tests of hot restarts: process locks, reuse-port balancing, and no request lost during a replacement."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from net_harness import (
    LONG_TIME_BUDGET,
    TEST_TIMEOUT_S,
    Client,
    DiscoveryServer,
    EndpointServer,
    config,
    endpoint_entry,
    endpoint_list,
    long_timeout_settings,
    run_async,
    start_proxy,
)
from test_admin_server import ProxyWithAdmin

from harness.proxy_process import free_port
from service_proxy.admin import reuse_port
from service_proxy.admin.process_generations import ProcessGenerations

CONNECTIONS_PER_STEP = 40  # connections opened in each step of the reuse-port test


def test_each_process_detects_its_predecessor_and_successor(tmp_path: Path) -> None:
    stem = tmp_path / "x.process"
    first = ProcessGenerations(stem)
    assert not first.has_successor() and not first.has_predecessor()
    second = ProcessGenerations(stem)
    assert (first.number, second.number) == (1, 2)
    assert first.has_successor() and second.has_predecessor() and not second.has_successor()
    first.release()
    assert not second.has_predecessor()
    third = ProcessGenerations(stem)
    assert third.number == 3 and second.has_successor()
    second.release()
    third.release()
    assert list(tmp_path.iterdir()) == []


def test_a_process_that_crashed_is_not_counted_although_its_lock_file_remains(tmp_path: Path) -> None:
    stem = tmp_path / "x.process"
    code = (
        "import os\n"
        "from pathlib import Path\n"
        "from service_proxy.admin.process_generations import ProcessGenerations\n"
        f"ProcessGenerations(Path({str(stem)!r}))\n"
        "os._exit(9)\n"
    )
    assert subprocess.run([sys.executable, "-c", code], timeout=TEST_TIMEOUT_S).returncode == 9
    lock_file = stem.with_name("x.process.1")
    assert lock_file.exists()
    current = ProcessGenerations(stem)
    assert current.number == 2 and not current.has_predecessor() and not lock_file.exists()
    successor = ProcessGenerations(stem)
    os.close(successor.lock_fd)  # as the kernel does when the process ends
    assert stem.with_name("x.process.3").exists() and not current.has_successor()
    current.release()


def test_a_file_with_another_name_is_not_counted_as_a_process(tmp_path: Path) -> None:
    stem = tmp_path / "x.process"
    for name in ("x.process.one", "x.process", "y.process.7"):
        (tmp_path / name).write_text("")
    made = ProcessGenerations(stem)
    assert made.number == 1
    with open(tmp_path / "x.process", "rb") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        assert not made.has_successor() and not made.has_predecessor()
    made.release()


def listener(port: int = 0) -> socket.socket:
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    made.bind(("127.0.0.1", port))
    made.listen(256)
    made.setblocking(False)
    return made


def count_accepted(listening: socket.socket) -> int:
    count = 0
    while True:
        try:
            listening.accept()[0].close()
        except BlockingIOError:
            return count
        count += 1


def test_new_connections_go_to_the_second_listener_or_to_the_only_one() -> None:
    """Count the connections that each listener accepts in each step.

    By hash both listeners get some; the chance that one gets none is one in 2 to the 40.
    """
    with listener() as one:
        port = one.getsockname()[1]

        def connect() -> None:
            for _ in range(CONNECTIONS_PER_STEP):
                socket.create_connection(("127.0.0.1", port)).close()

        two = listener(port)
        connect()
        assert count_accepted(one) and count_accepted(two)
        assert reuse_port.prefer_second_listener(one.fileno())
        connect()
        assert (count_accepted(one), count_accepted(two)) == (0, CONNECTIONS_PER_STEP)
        two.close()  # the second process crashes, so no second listener is left
        connect()
        assert count_accepted(one) == CONNECTIONS_PER_STEP
        with listener(port) as three:
            connect()
            assert (count_accepted(one), count_accepted(three)) == (0, CONNECTIONS_PER_STEP)
            assert reuse_port.balance_by_hash(three.fileno())
            connect()
            assert count_accepted(one) and count_accepted(three)
            assert not reuse_port.balance_by_hash(three.fileno())  # the program is already detached


def test_a_hot_restart_under_load_loses_no_request_and_keeps_maintenance() -> None:
    """One-shot and keep-alive clients send requests during three restarts in a row."""

    async def test() -> None:
        discovery = await DiscoveryServer().start()
        one = await EndpointServer().start()
        two = await EndpointServer().start()
        known = endpoint_list(1, endpoint_entry("s-1", one.address), endpoint_entry("s-2", two.address))
        listen = free_port()
        with tempfile.TemporaryDirectory() as folder:
            raw = config(discovery.address, known, f"127.0.0.1:{listen}", **long_timeout_settings())
            running: list[ProxyWithAdmin] = []

            async def start() -> ProxyWithAdmin:
                console = free_port()
                raw["console"] = f"127.0.0.1:{console}"
                process = await start_proxy(raw, folder, TMPDIR=folder)
                made = ProxyWithAdmin(process, ("127.0.0.1", listen), Path(folder) / "config.json", raw)
                made.admin_address = "127.0.0.1", console
                running.append(made)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while True:
                        try:
                            if (await made.admin("GET /healthcheck")).status_code == 200:
                                return made
                        except OSError:
                            await asyncio.sleep(0.02)

            status_codes: list[int] = []
            stop = asyncio.Event()

            async def send_requests(name: str) -> None:
                client: Client | None = None
                n = 0
                while not stop.is_set():
                    if client is None:
                        client = Client(*await asyncio.open_connection("127.0.0.1", listen))
                    response = await client.request("stock", f"{name}{n}", LONG_TIME_BUDGET)
                    status_codes.append(response.status_code)
                    n += 1
                    if response.headers.get("connection") == "close" or name.startswith("once"):
                        client.writer.close()
                        client = None
                    await asyncio.sleep(0.03)

            try:
                current_proxy = await start()
                assert (await current_proxy.admin("POST /backends/s-1/maint")).status_code == 200
                clients = [
                    asyncio.create_task(send_requests(f"{kind}{n}"))
                    for kind in ("once", "kept")
                    for n in range(4)
                ]
                for _ in range(3):
                    previous_proxy = current_proxy
                    current_proxy = await start()
                    assert (await current_proxy.metrics())["hosts_down"] == 1
                    previous_proxy.terminate()
                    assert await previous_proxy.exit_code() == 0
                stop.set()
                # no client met a connection that was closed during its request
                await asyncio.gather(*clients)
                assert len(status_codes) > 100 and set(status_codes) == {200}
                assert one.received_count == 0
                assert (await current_proxy.admin("POST /backends/s-1/ready")).status_code == 200
                client = Client(*await asyncio.open_connection("127.0.0.1", listen))
                assert (await client.request("stock", "back", LONG_TIME_BUDGET)).status_code == 200
                assert one.received_count == 1
                names = {path.name.rpartition(".")[2] for path in Path(folder).glob("granitepoint-*")}
                assert names == {"maintenance", str(len(running))}
            finally:
                for made in running:
                    if made.process.returncode is None:
                        made.process.send_signal(signal.SIGKILL)
                        await made.process.wait()
                await one.stop()
                await two.stop()

    run_async(test())
