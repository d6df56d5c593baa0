"""What a socket holds that the loop has not read yet, by a look of this side. No event is taken away."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes or the connection's end lie in its socket by now."""
    return bool(_found([transport], select.POLLIN))


def waited_for(listener: int) -> bool:
    """Whether somebody has connected to this listening descriptor and was not accepted yet."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))


def ended(transports: Iterable[asyncio.BaseTransport]) -> list[asyncio.BaseTransport]:
    """Those whose peer sends no more, whatever bytes lie before its end."""
    return _found(transports, select.POLLRDHUP)


def _found(transports: Iterable[asyncio.BaseTransport], event: int) -> list[asyncio.BaseTransport]:
    poll, asked = select.poll(), {}
    for transport in transports:
        number = transport.get_extra_info("socket").fileno()
        asked[number] = transport
        poll.register(number, event)
    return [asked[number] for number, _ in poll.poll(0)] if asked else []
