"""What the composition root does with parts that fail."""

from __future__ import annotations

import logging
from typing import Any, cast

import pytest

from service_proxy.composition import Proxy
from service_proxy.operator_file import OperatorError, Problem


class Part:
    """A subsystem that counts its reloads, and may refuse them."""

    def __init__(self, refuses: bool) -> None:
        self.refuses = refuses
        self.reloads = 0

    def reload(self, file: str) -> None:
        self.reloads += 1
        if self.refuses:
            raise OperatorError([Problem(file, 3, "S109", "its key can't change", "start the proxy anew")])


def test_a_part_that_refuses_its_table_keeps_no_other_from_its_own(caplog: pytest.LogCaptureFixture) -> None:
    proxy = Proxy.__new__(Proxy)
    parts = [Part(False), Part(True), Part(False)]
    proxy.subsystems = cast(Any, parts)
    with caplog.at_level(logging.ERROR, "service_proxy"):
        proxy.reload_subsystems("operator.toml")
    assert [part.reloads for part in parts] == [1, 1, 1]
    (record,) = caplog.records
    assert record.getMessage().startswith("subsystem_reload_rejected error=operator.toml:3:")
    assert "S109" in record.getMessage() and "start the proxy anew" in record.getMessage()
