"""What a socket holds that the loop has not read yet, by a look of this side. No event is taken away."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable


def has_input(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes or the connection's end lie in its socket by now."""
    return is_readable(transport.get_extra_info("socket").fileno())


def is_readable(descriptor: int) -> bool:
    """Whether something is to be taken from this descriptor; from a listening one, a connection."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def ended_by_peer(transports: Iterable[asyncio.BaseTransport]) -> list[asyncio.BaseTransport]:
    """Those whose peer sends no more, whatever bytes lie before its end."""
    poll = select.poll()
    transport_by_descriptor = {}
    for transport in transports:
        descriptor = transport.get_extra_info("socket").fileno()
        transport_by_descriptor[descriptor] = transport
        poll.register(descriptor, select.POLLRDHUP)
    return (
        [transport_by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]
        if transport_by_descriptor
        else []
    )
