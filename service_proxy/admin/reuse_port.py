"""Which of two listening sockets at one address (SO_REUSEPORT) new connections go to (socket(7)).

A listener that closes resets what waits in its queue, so the kernel is told first to queue nothing more
there. A classic BPF program chooses the socket by its place in the group: sockets stand there in the order in
which they began to listen, and where one leaves the last takes its place. No rights are needed.
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
SECOND_LISTENER_INDEX = 1  # place of the socket that began to listen after the first of two


def prefer_second_listener(fileno: int) -> bool:
    """From now on new connections of its group go to the socket that began to listen second; where there is
    none the kernel deals by hash, as without a program. False where this kernel has no such thing."""
    program = ctypes.create_string_buffer(struct.pack("HBBI", RETURN_CONSTANT, 0, 0, SECOND_LISTENER_INDEX))
    described = struct.pack("HP", 1, ctypes.addressof(program))  # struct sock_fprog, linux/filter.h
    return _set(fileno, SO_ATTACH_REUSEPORT_CBPF, described)


def balance_by_hash(fileno: int) -> bool:
    """As without a program. False where there was none."""
    return _set(fileno, SO_DETACH_REUSEPORT_BPF, struct.pack("i", 0))


def _set(fileno: int, option: int, value: bytes) -> bool:
    with socket.socket(fileno=os.dup(fileno)) as listener:
        try:
            listener.setsockopt(socket.SOL_SOCKET, option, value)
        except OSError as fault:
            log.info("the kernel does not steer new connections: %s", fault)
            return False
    return True
