"""What a socket holds that the loop has not read yet, by a look of this side. No event is taken away."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes or the connection's end lie in its socket by now."""
    return waiting(transport.get_extra_info("socket").fileno())


def waiting(number: int) -> bool:
    """Whether something is to be taken from this descriptor; from a listening one, a connection."""
    poll = select.poll()
    poll.register(number, select.POLLIN)
    return bool(poll.poll(0))


def ended(transports: Iterable[asyncio.BaseTransport]) -> list[asyncio.BaseTransport]:
    """Those whose peer sends no more, whatever bytes lie before its end."""
    poll = select.poll()
    asked = {}
    for transport in transports:
        number = transport.get_extra_info("socket").fileno()
        asked[number] = transport
        poll.register(number, select.POLLRDHUP)
    return [asked[number] for number, _ in poll.poll(0)] if asked else []
