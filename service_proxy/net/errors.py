"""The base class of the errors that this package raises; each stands beside what raises it."""

from __future__ import annotations


class NetError(Exception):
    """Something that came in over a socket or from a file can't be used."""
