"""Balancing of new connections between two listeners at one address (SO_REUSEPORT, socket(7)).

A listener that closes resets the connections in its accept queue, so the kernel must first stop queueing
connections there. A classic BPF program selects the socket by its index in the group. Sockets are indexed in
the order in which they began to listen; when a socket leaves the group, the last socket takes its index. No
privileges are needed.
"""

from __future__ import annotations

import ctypes
import logging
import os
import socket
import struct

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h
SO_DETACH_REUSEPORT_BPF = 68
RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K, linux/bpf_common.h
SECOND_LISTENER_INDEX = 1  # index of the socket that began to listen second, in a group of two


def prefer_second_listener(fileno: int) -> bool:
    """Send new connections of the group of `fileno` to the socket that began to listen second.

    Without a second socket the kernel selects by hash, as it does without a program. Return False if the
    kernel can't attach the program.
    """
    program = ctypes.create_string_buffer(struct.pack("HBBI", RETURN_CONSTANT, 0, 0, SECOND_LISTENER_INDEX))
    sock_fprog = struct.pack("HP", 1, ctypes.addressof(program))  # linux/filter.h
    return _set_socket_option(fileno, SO_ATTACH_REUSEPORT_CBPF, sock_fprog)


def balance_by_hash(fileno: int) -> bool:
    """Detach the group's program, so that the kernel selects by hash; return False if there was none."""
    return _set_socket_option(fileno, SO_DETACH_REUSEPORT_BPF, struct.pack("i", 0))


def _set_socket_option(fileno: int, option: int, value: bytes) -> bool:
    with socket.socket(fileno=os.dup(fileno)) as listener:
        try:
            listener.setsockopt(socket.SOL_SOCKET, option, value)
        except OSError as error:
            log.info("reuse_port_balancing_unavailable option=%d error=%s", option, error)
            return False
    return True
