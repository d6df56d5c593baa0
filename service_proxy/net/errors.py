"""Base class of this package's errors; each error class is defined in the module that raises it."""

from __future__ import annotations


class NetError(Exception):
    """Data received over a socket or read from a file is invalid."""
