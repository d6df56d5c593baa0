"""Reproducible Hypothesis draws, and a check that no test leaves the log levels changed."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest
from hypothesis import settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


def log_levels() -> dict[str, int]:
    """Return the log levels of the root logger ("") and the program's loggers. Level 0 is inherited."""
    known = [name for name in logging.Logger.manager.loggerDict if name.split(".")[0] == "service_proxy"]
    return {name: logging.getLogger(name).level for name in ["", *known]}


@pytest.fixture(autouse=True)
def restore_log_levels() -> Iterator[None]:
    """Restore the log levels after each test, and fail a test that leaves a logger silenced.

    Some parts of the program lower log levels when they are enabled, and no later test may rely on the extra
    log lines. A silenced logger would make a later test fail that looks for a log line.
    """
    levels_before = log_levels()
    yield
    levels_after = log_levels()
    for name in levels_after:
        logging.getLogger(name).setLevel(levels_before.get(name, logging.NOTSET))
    silenced = [
        name
        for name, level in levels_after.items()
        if level > max(levels_before.get(name, 0), logging.WARNING)
    ]
    assert not silenced, f"this test left loggers silenced for later tests: {silenced}"
