"""Tests of the configuration files that are rejected, and of the settings during a transition. Pure."""

from __future__ import annotations

import copy
import json
import math
from typing import Any

import pytest

from harness.proxy_process import platform_settings
from service_proxy.admin.errors import InvalidSettingsUpdateError
from service_proxy.admin.settings_update import parse_update, transitional_settings
from service_proxy.net.config import flatten_settings
from service_proxy.policy.settings_types import Idempotency
from service_proxy.settings import read_settings

RUNNING: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1",
    "console": "127.0.0.1:3",
    "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
    "known": {"index": 1},
    "settings": platform_settings(),
}


def running_with(path: str, value: Any) -> str:
    raw = copy.deepcopy(RUNNING)
    container: Any = raw
    *parents, last = path.split(".")
    for part in parents:
        container = container[int(part)] if isinstance(container, list) else container[part]
    if value is None:
        del container[last]
    else:
        container[last] = value
    return json.dumps(raw)


def test_the_same_file_and_one_without_startup_only_keys_are_accepted() -> None:
    assert parse_update(json.dumps(RUNNING), RUNNING) == RUNNING
    for key in ("known", "seed"):
        assert key not in parse_update(running_with(key, None), RUNNING)


@pytest.mark.parametrize("text", ["", " ", "[]", "null", "[" * 100_000, json.dumps(RUNNING)[:-1], "{}"])
def test_an_empty_or_truncated_file_is_rejected(text: str) -> None:
    with pytest.raises(InvalidSettingsUpdateError):
        parse_update(text, RUNNING)


@pytest.mark.parametrize(
    "path",
    [
        "discovery",
        "settings",
        "limits.sockets",
        "settings.grades",
        "settings.contract.cold",
        "settings.policy_limits",
        "settings.grades.0.deadline",
        "settings.grades.1.window",
        "settings.grades.2.effect",
    ],
)
def test_a_key_that_is_missing_is_named(path: str) -> None:
    with pytest.raises(InvalidSettingsUpdateError, match=f"{path} is missing"):
        parse_update(running_with(path, None), RUNNING)


@pytest.mark.parametrize("path", ["settings.grades.0.deadline", "settings.policy_limits.send_cap"])
@pytest.mark.parametrize("value", [0, -1, "3", True, [], {}, math.nan, math.inf, -math.inf])
def test_a_value_that_is_no_positive_number_is_named(path: str, value: Any) -> None:
    with pytest.raises(InvalidSettingsUpdateError, match=path):
        parse_update(running_with(path, value), RUNNING)


def test_numbers_of_attempts_are_integers_also_those_of_one_class() -> None:
    for path in ("settings.policy_limits.send_cap", "settings.grades.0.attempts"):
        with pytest.raises(InvalidSettingsUpdateError, match=path):
            parse_update(running_with(path, 2.5), RUNNING)


def test_request_classes_can_be_added_and_removed() -> None:
    fewer_classes = copy.deepcopy(RUNNING)
    fewer_classes["settings"]["grades"] = fewer_classes["settings"]["grades"][:1]
    assert parse_update(json.dumps(fewer_classes), RUNNING) == fewer_classes
    assert parse_update(json.dumps(RUNNING), fewer_classes) == RUNNING


def test_the_transition_has_the_classes_of_both_files_and_keeps_the_old_ones_unchanged() -> None:
    raw = copy.deepcopy(RUNNING["settings"])
    raw["grades"][0]["effect"] = "once"  # stricter than the running class
    del raw["grades"][1]
    raw["grades"].append({**raw["grades"][0], "name": "express"})
    running, new = (read_settings(flatten_settings(one)) for one in (RUNNING["settings"], raw))
    both = transitional_settings(running, new)
    assert {cls.name: cls.idempotency for cls in both.classes} == {
        "stock": Idempotency.IDEMPOTENT,
        "reserva": Idempotency.IDEMPOTENT_WITH_KEY,
        "canje": Idempotency.NOT_IDEMPOTENT,
        "express": Idempotency.NOT_IDEMPOTENT,
    }
    assert transitional_settings(new, new) == new
