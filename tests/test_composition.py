"""Tests of the composition root with subsystems that fail."""

from __future__ import annotations

import logging
from typing import Any, cast

import pytest

from service_proxy.composition import Proxy
from service_proxy.operator_file import OperatorError, Problem


class FakeSubsystem:
    """Subsystem that counts its reloads and can reject them."""

    def __init__(self, rejects: bool) -> None:
        self.rejects = rejects
        self.reloads = 0

    def reload(self, file: str) -> None:
        self.reloads += 1
        if self.rejects:
            raise OperatorError(
                [Problem(file, 3, "S109", "this key can't change while the proxy runs", "restart the proxy")]
            )


def test_a_subsystem_that_rejects_its_table_does_not_stop_the_reload_of_others(
    caplog: pytest.LogCaptureFixture,
) -> None:
    proxy = Proxy.__new__(Proxy)
    subsystems = [FakeSubsystem(False), FakeSubsystem(True), FakeSubsystem(False)]
    proxy.subsystems = cast(Any, subsystems)
    with caplog.at_level(logging.ERROR, "service_proxy"):
        proxy.reload_subsystems("operator.toml")
    assert [subsystem.reloads for subsystem in subsystems] == [1, 1, 1]
    (record,) = caplog.records
    assert record.getMessage().startswith("subsystem_reload_rejected error=operator.toml:3:")
    assert "S109" in record.getMessage() and "restart the proxy" in record.getMessage()
