"""State of the sockets of transports.

Queries with poll(2) find data that the event loop has not read yet; no event is consumed.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Iterable

# Fields of struct tcp_info (tcp(7), linux/tcp.h) by their offset: tcpi_rcv_ssthresh and tcpi_advmss.
TCP_INFO_WINDOW = struct.Struct("=64xI16xI")


def has_input(transport: asyncio.BaseTransport) -> bool:
    """Return True if the socket has unread bytes or the end of the connection."""
    return is_readable(transport.get_extra_info("socket").fileno())


def is_readable(descriptor: int) -> bool:
    """Return True if the descriptor has data to read or, for a listening descriptor, a connection."""
    return _has_event(descriptor, select.POLLIN)


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Return True if the peer has closed its sending side, even if unread bytes precede the end."""
    return _has_event(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)


def _has_event(descriptor: int, event: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the number of written bytes that the peer's machine has not taken (tcp(7), SIOCOUTQ).

    Return 0 where the system does not tell.
    """
    return _queued_bytes(transport, termios.TIOCOUTQ)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the number of bytes that the socket has received and the proxy has not read (tcp(7), SIOCINQ).

    Return 0 where the system does not tell.
    """
    return _queued_bytes(transport, termios.FIONREAD)


def is_receive_window_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether so much is unread that further bytes, or the connection's end, may wait at the peer.

    The kernel offers room to the peer in whole segments. Return False where the system does not tell.
    """
    raw = transport.get_extra_info("socket")
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_WINDOW.size)
    except OSError:
        return False
    if len(info) < TCP_INFO_WINDOW.size:
        return False
    window, segment_size = TCP_INFO_WINDOW.unpack(info)
    unread = unread_bytes(transport)
    return unread > 0 and unread + segment_size > window > 0


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    buffer = bytearray(struct.calcsize("i"))
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), request, buffer)
    except OSError:
        return 0
    return int(struct.unpack("i", buffer)[0])


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the close of the transport reset the connection (socket(7), SO_LINGER with timeout 0)."""
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


def ended_by_peer(transports: Iterable[asyncio.BaseTransport]) -> list[asyncio.BaseTransport]:
    """Return the transports whose peer has closed its sending side, even if unread bytes precede the end."""
    poll = select.poll()
    transport_by_descriptor = {}
    for transport in transports:
        descriptor = transport.get_extra_info("socket").fileno()
        transport_by_descriptor[descriptor] = transport
        poll.register(descriptor, select.POLLRDHUP)
    if not transport_by_descriptor:
        return []
    return [transport_by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]
