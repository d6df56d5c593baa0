"""Clients that send many requests at once on each connection, in a process of their own.

    python -m harness.flood_clients --to 127.0.0.1:8081 --form valid --clients 300 --requests 900

The clients read all that they are sent. With --again a client connects and sends the same again as soon as it
has a response. The program prints one line with the number of responses by status
code, and ends when all connections have ended or after --seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import re
from collections import Counter
from collections.abc import Callable

READ_BYTES = 65536
PART_PAUSE_S = 0.05  # pause between the parts of a flood that is written in parts
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3})")
SMALL_BODY = b"x" * 100
LONG_BODY = b"x" * 60_000
STREAMED_BODY = b"x" * 200_000


def get_stock(request_id: str) -> bytes:
    """Return a valid request of an idempotent class."""
    head = f"GET /stock/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: {request_id}\r\nX-Budget: 1200m\r\n\r\n"
    return head.encode()


def get_unknown_class(request_id: str) -> bytes:
    """Return a request of a class that does not exist."""
    return f"GET /nada/{request_id} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


def get_health(_request_id: str) -> bytes:
    """Return a request that the proxy answers itself."""
    return b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"


def post(request_id: str, framing: str, body: bytes) -> bytes:
    """Return a valid request of a class that is not idempotent."""
    lines = ["POST /canje/1 HTTP/1.1", "Host: a", f"X-Call-Id: {request_id}", "X-Budget: 1200m", framing]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def post_small_body(request_id: str) -> bytes:
    """Return a valid request with a small body."""
    return post(request_id, f"Content-Length: {len(SMALL_BODY)}", SMALL_BODY)


def post_long_body(request_id: str) -> bytes:
    """Return a valid request with a body just below the size of a streamed body."""
    return post(request_id, f"Content-Length: {len(LONG_BODY)}", LONG_BODY)


def post_streamed_body(request_id: str) -> bytes:
    """Return a valid request whose body is too long to be buffered with its connection."""
    return post(request_id, f"Content-Length: {len(STREAMED_BODY)}", STREAMED_BODY)


def get_long_head(request_id: str) -> bytes:
    """Return a valid request with many header fields, just below the limits of a head."""
    fields = "".join(f"x-field-{n:02}: {'v' * 300}\r\n" for n in range(90))
    return get_stock(request_id)[:-2] + fields.encode() + b"\r\n"


def post_chunks(request_id: str) -> bytes:
    """Return a valid request whose body arrives in small chunks."""
    return post(request_id, "Transfer-Encoding: chunked", b"2\r\nab\r\n" * 20 + b"0\r\n\r\n")


FORMS: dict[str, Callable[[str], bytes]] = {
    "valid": get_stock,
    "unknown": get_unknown_class,
    "local": get_health,
    "small-bodies": post_small_body,
    "long-bodies": post_long_body,
    "streamed-bodies": post_streamed_body,
    "long-heads": get_long_head,
    "chunks": post_chunks,
}


async def flood(to: tuple[str, int], number: int, options: argparse.Namespace, codes: Counter[bytes]) -> None:
    """Send all requests of one client, once or again and again."""
    connections = 0
    await flood_connection(to, f"{number}-{connections}", options, codes)
    while options.again:
        connections += 1
        await flood_connection(to, f"{number}-{connections}", options, codes)


async def flood_connection(
    to: tuple[str, int], name: str, options: argparse.Namespace, codes: Counter[bytes]
) -> None:
    """Send the requests of one connection in parts, and count the responses."""
    build = FORMS[options.form]
    requests, parts = options.requests, options.parts
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*to)

        async def send() -> None:
            with contextlib.suppress(OSError):
                for part in range(parts):
                    numbers = range(part * requests // parts, (part + 1) * requests // parts)
                    writer.write(b"".join(build(f"flood-{name}-{n}") for n in numbers))
                    await writer.drain()
                    await asyncio.sleep(PART_PAUSE_S if parts > 1 else 0)

        sending = asyncio.ensure_future(send())
        while block := await reader.read(READ_BYTES):
            codes.update(STATUS_LINE.findall(block))
            if options.again:
                break
        sending.cancel()
        writer.transport.abort()


async def run(options: argparse.Namespace) -> None:
    """Run all clients, and print the number of responses by status code."""
    host, _, port = options.to.rpartition(":")
    codes: Counter[bytes] = Counter()
    clients = (flood((host, int(port)), number, options, codes) for number in range(options.clients))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(options.seconds):
            await asyncio.gather(*clients)
    print(json.dumps({code.decode(): count for code, count in sorted(codes.items())}), flush=True)


def main() -> None:
    """Run the program with its command line."""
    parser = argparse.ArgumentParser(prog="python -m harness.flood_clients")
    parser.add_argument("--to", required=True, metavar="HOST:PORT")
    parser.add_argument("--form", choices=FORMS, default="valid")
    parser.add_argument("--clients", type=int, default=300)
    parser.add_argument("--requests", type=int, default=900, help="requests of each client")
    parser.add_argument("--parts", type=int, default=1, help="number of writes that the requests are sent in")
    parser.add_argument("--again", action="store_true", help="reconnect after the first response")
    parser.add_argument("--seconds", type=float, default=20.0, help="time limit of the program")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
