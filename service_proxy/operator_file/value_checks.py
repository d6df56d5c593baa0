"""Checks of single values of the operator's file.

Each check returns the problem of the value, as "must ...", or None for a valid value.
"""

from __future__ import annotations

import ipaddress
import re

MAX_SERVERS = 9  # servers of one ensemble
MAX_PORT = 65535
MAX_FLEET_NAME_BYTES = 64
FIRST_PRINTABLE = 0x20  # characters below 0x20 and from 0x7F to 0x9F are control characters
FIRST_C1_CONTROL = 0x7F
LAST_C1_CONTROL = 0x9F


def find_path_problem(value: str) -> str | None:
    """Check the path of a znode."""
    parts = value.split("/")
    if not value.startswith("/") or (value != "/" and any(part in ("", ".", "..") for part in parts[1:])):
        return "must be a path such as /zones/front, without an empty part"
    if any(
        ord(character) < FIRST_PRINTABLE or FIRST_C1_CONTROL <= ord(character) <= LAST_C1_CONTROL
        for character in value
    ):
        return "must hold no control characters"
    return None


def find_chroot_problem(value: str) -> str | None:
    """Check a chroot; an empty value means no chroot."""
    return None if value == "" else find_path_problem(value)


def find_address_problem(value: str) -> str | None:
    """Check an address of the form host:port with a numeric port."""
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        return f"must hold host:port, not {value!r:.60}"
    return None


def find_servers_problem(value: tuple[str, ...]) -> str | None:
    """Check the addresses of an ensemble's servers."""
    if not 1 <= len(value) <= MAX_SERVERS:
        return f"must name 1 to {MAX_SERVERS} servers"
    if len(set(value)) != len(value):
        return "names a server twice"
    return next((problem for problem in map(find_address_problem, value) if problem), None)


def find_watch_problem(value: str) -> str | None:
    """Check the kind of watches."""
    return None if value in ("auto", "persistent", "one-shot") else "must be auto, persistent or one-shot"


def find_mark_problem(value: str) -> str | None:
    """Check a hop identifier; an empty value means no identifier."""
    return None if re.fullmatch(r"|[a-z][a-z0-9_-]{0,62}", value) else "must be a tier's name"


def find_name_problem(value: str) -> str | None:
    """Check the name of a znode."""
    if (
        not value
        or "/" in value
        or value in (".", "..")
        or any(ord(character) < FIRST_PRINTABLE for character in value)
    ):
        return "must be a node's name, without / and control characters"
    return None


def find_routes_problem(value: tuple[str, ...]) -> str | None:
    """Check the names of WebSocket routes."""
    if any(not re.fullmatch(r"[A-Za-z0-9_-]{1,64}", name) for name in value):
        return "must hold first parts of paths: letters, digits, - and _"
    return "names a route twice" if len(set(value)) != len(value) else None


def find_origins_problem(value: tuple[str, ...]) -> str | None:
    """Check the origins of browsers."""
    if any(not re.fullmatch(r"null|[a-z][a-z0-9+.-]*://[^/\s]{1,253}", name) for name in value):
        return "must hold origins such as https://kiosk.example, in lowercase letters, without a path"
    return None


def find_protocols_problem(value: tuple[str, ...]) -> str | None:
    """Check the names of WebSocket subprotocols."""
    if any(not re.fullmatch(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}", name) for name in value):
        return "must hold tokens of 1 to 64 characters"
    return None


def find_optional_address_problem(value: str) -> str | None:
    """Check an optional address; an empty value means no address."""
    return find_address_problem(value) if value else None


def find_members_problem(value: tuple[str, ...]) -> str | None:
    """Check the addresses of fleet members."""
    if len(set(value)) != len(value):
        return "names an address twice"
    return next((problem for problem in map(find_address_problem, value) if problem), None)


def find_networks_problem(value: tuple[str, ...]) -> str | None:
    """Check IPv4 networks."""
    for network in value:
        try:
            ipaddress.IPv4Network(network)
        except ValueError as error:
            return f"must hold IPv4 networks such as 10.1.0.0/16: {error}"
    return None


def find_fleet_name_problem(value: str) -> str | None:
    """Check a fleet's name."""
    if not 1 <= len(value.encode()) <= MAX_FLEET_NAME_BYTES or not value.isprintable():
        return "must have 1 to 64 printable characters"
    return None


def find_folder_problem(value: str) -> str | None:
    """Check an absolute path; an empty value means no path."""
    return None if not value or value.startswith("/") else "must be an absolute path"
