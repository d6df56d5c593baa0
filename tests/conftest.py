"""Hypothesis draws what it drew before, and each test finds the log as it was."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest
from hypothesis import settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


def levels() -> dict[str, int]:
    """Of the root ("") and of all loggers of the program; 0 is one whose parent decides."""
    known = [name for name in logging.Logger.manager.loggerDict if name.split(".")[0] == "service_proxy"]
    return {name: logging.getLogger(name).level for name in ["", *known]}


@pytest.fixture(autouse=True)
def log_as_it_was() -> Iterator[None]:
    """Parts of the program say more when they are on, which no later test may rely on; a test that leaves
    less said fails itself, and not one that looks for a line after it."""
    before = levels()
    yield
    left = levels()
    for name in left:
        logging.getLogger(name).setLevel(before.get(name, logging.NOTSET))
    quiet = [name for name, level in left.items() if level > max(before.get(name, 0), logging.WARNING)]
    assert not quiet, f"this test left the log silenced for those that follow: {quiet}"
