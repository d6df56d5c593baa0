"""Deprecated name of the package `service_proxy`.

Unit files and scripts of earlier versions call `python -m granitepoint...`. Each module of this package runs
the program that replaces it, and logs that the old name is deprecated.
"""

from __future__ import annotations

import logging
import runpy

log = logging.getLogger(__name__)


def run_renamed(old_module: str, new_module: str) -> None:
    """Run `new_module` as `python -m` would, after a warning that names both modules."""
    log.warning("deprecated_module old=%s new=%s", old_module, new_module)
    runpy.run_module(new_module, run_name="__main__", alter_sys=True)
