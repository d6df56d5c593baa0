"""SIGHUP and SIGTERM, through the program itself: a new address of discovery, bad files, planned restarts."""

from __future__ import annotations

import asyncio

import pytest
from netkit import PATIENCE, Backend, Discovery, Seen, endpoint, next_call, proxy, run, serve_ok


async def first_asked(discovery: Discovery) -> str:
    async with asyncio.timeout(PATIENCE):
        return await discovery.asked.get()


def test_a_reload_takes_the_list_of_the_new_address_whole_and_watches_from_there() -> None:
    """Guards against the variable that overrides the file, and against versions of the old server."""

    async def test() -> None:
        one = Backend()
        two = await Backend().start()
        async with proxy({"s-1": one}) as node:
            caller = await node.caller()
            assert (await caller.call("stock", "1" * 16)).code == 200
            for round, backend in enumerate([two, one, two]):
                server = await Discovery().start()
                server.put(round, endpoint(f"s-{round}", backend.address), snapshot=True)
                node.reload(discovery=server.address)
                assert await first_asked(server) == "/v1/servers"
                assert (await first_asked(server)).startswith(f"/v1/servers?from={round}&hold_ms=")
                before = backend.count
                assert (await caller.call("canje", f"{round:016x}")).code == 200
                assert backend.count == before + 1
        await two.stop()

    run(test())


def test_a_reload_asks_again_at_once_while_the_new_address_is_not_up_yet() -> None:
    """What discovery tells must be in force within 4 s; the module's own pause after a failure is longer."""

    async def test() -> None:
        new = Discovery()
        await new.start()
        two = await Backend().start()
        async with proxy({"s-1": Backend()}) as node:
            new.changes.put_nowait(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            new.put(9, endpoint("s-2", two.address), snapshot=True)
            begun = asyncio.get_running_loop().time()
            node.reload(discovery=new.address)
            assert await first_asked(new) == await first_asked(new) == "/v1/servers"
            assert "from=9" in await first_asked(new)
            assert asyncio.get_running_loop().time() - begun < 2.0
            assert (await (await node.caller()).call("canje", "1" * 16)).code == 200
            assert two.count == 1
        await two.stop()

    run(test())


DEEP = pytest.param("[" * 100_000, id="deep")


@pytest.mark.parametrize("text", ["", "{", "[]", "{}", '{"settings": {}, "discovery": 3}', DEEP])
def test_a_file_that_cannot_be_used_changes_nothing(text: str) -> None:
    async def test() -> None:
        backend = Backend()
        discovery = await Discovery().start()
        async with proxy({"s-1": backend}, discovery) as node:
            assert "from=1" in await first_asked(discovery)
            node.reload(text=text)
            async with asyncio.timeout(PATIENCE):
                assert node.process.stderr is not None
                while b"reload_rejected" not in await node.process.stderr.readline():
                    pass
            discovery.put(2)
            assert "from=2" in await first_asked(discovery)  # the watch goes on
            assert (await (await node.caller()).call("stock", "1" * 16)).code == 200
            assert node.process.returncode is None

    run(test())


def test_a_reload_while_draining_ends_nothing() -> None:
    async def test() -> None:
        free = asyncio.Event()

        async def behave(seen: object, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        backend = Backend(behave)
        new = await Discovery().start()
        async with proxy({"s-1": backend}) as node:
            caller = await node.caller()
            idle = await node.caller()
            caller.send("canje", "a" * 16, budget="6000m")
            await next_call(backend)
            node.terminate()
            assert await idle.ended()
            node.reload(discovery=new.address)
            assert await first_asked(new) == "/v1/servers"
            free.set()
            assert (await caller.answer()).code == 200
            assert await node.code() == 0

    run(test())


def test_after_sigterm_kept_connections_are_served_on_and_all_is_answered_before_the_kill() -> None:
    """The other proxies of a zone may be few, or restarting too. SIGKILL may come after 3.7 s."""

    async def test() -> None:
        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"] != "a" * 16:
                await serve_ok(seen, writer)

        loop = asyncio.get_running_loop()
        async with proxy({f"s-{number}": Backend(behave) for number in range(3)}) as node:
            caller = await node.caller()
            stuck = await node.caller()
            assert (await caller.call("stock", "1" * 16)).code == 200
            begun = loop.time()
            node.terminate()
            number = 2
            while loop.time() < begun + 1.5:
                reply = await caller.call("stock", f"{number:016x}")
                assert reply.code == 200 and "connection" not in reply.headers
                number += 1
                if number == 3:
                    stuck.send("canje", "a" * 16, budget="6000m")
                await asyncio.sleep(0.1)
            assert (await stuck.answer()).code in (502, 504)
            assert await node.code() == 0
            assert loop.time() - begun < 3.6

    run(test())
