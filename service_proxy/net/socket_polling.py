"""What a socket holds that the loop has not read yet, by poll(2); no event is taken away."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable


def has_input(transport: asyncio.BaseTransport) -> bool:
    """Tell whether bytes or the connection's end lie in its socket by now."""
    return is_readable(transport.get_extra_info("socket").fileno())


def is_readable(descriptor: int) -> bool:
    """Tell whether something is to be read from this descriptor; from a listening one, a connection."""
    return _has_event(descriptor, select.POLLIN)


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Tell whether its peer sends no more, whatever bytes lie before its end."""
    return _has_event(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)


def _has_event(descriptor: int, event: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))


def ended_by_peer(transports: Iterable[asyncio.BaseTransport]) -> list[asyncio.BaseTransport]:
    """Return those whose peer sends no more, whatever bytes lie before its end."""
    poll = select.poll()
    transport_by_descriptor = {}
    for transport in transports:
        descriptor = transport.get_extra_info("socket").fileno()
        transport_by_descriptor[descriptor] = transport
        poll.register(descriptor, select.POLLRDHUP)
    if not transport_by_descriptor:
        return []
    return [transport_by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]
