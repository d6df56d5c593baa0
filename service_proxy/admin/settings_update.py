"""Whether a configuration that is read again can be used, and what is in force until it is. Pure.

A new file is held against the one in use: what that has and this lacks is most likely lost, not meant.
"""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Mapping
from typing import Any

from service_proxy.policy.events import Settings

TRANSITION_S = 0.8  # s for which callers' requests may still be of the file before
STARTUP_ONLY_KEYS = frozenset(("known", "seed"))  # keys that only a start takes
POSITIVE_CLASS_KEYS = ("deadline", "objective", "attempts")  # of a class, where it has them


class InvalidSettingsUpdateError(ValueError):
    """The new file changes nothing; the message says why, with the key's path."""


def parse_update(text: str, running: Mapping[str, Any]) -> dict[str, Any]:
    """The new file's object. Raises Unusable."""
    try:
        new = json.loads(text)
    except (ValueError, RecursionError) as fault:
        raise InvalidSettingsUpdateError(f"no JSON: {fault}") from None
    if not isinstance(new, dict):
        raise InvalidSettingsUpdateError("no JSON object")
    _same_keys(new, running, "")
    settings = new["settings"]
    for n, grade in enumerate(settings["grades"]):
        for key in POSITIVE_CLASS_KEYS:
            if key in grade:
                _above_0(grade[key], f"settings.grades.{n}.{key}", whole=key == "attempts")
    limits = settings.get("policy_limits", {})
    if "send_cap" in limits:
        _above_0(limits["send_cap"], "settings.policy_limits.send_cap", whole=True)
    return new


def _same_keys(new: Mapping[str, Any], running: Mapping[str, Any], path: str) -> None:
    for key, before in running.items():
        if not path and key in STARTUP_ONLY_KEYS:
            continue
        at = f"{path}.{key}" if path else key
        if key not in new:
            raise InvalidSettingsUpdateError(f"{at} is missing")
        now = new[key]
        if isinstance(before, Mapping):
            if not isinstance(now, Mapping):
                raise InvalidSettingsUpdateError(f"{at} is no object")
            _same_keys(now, before, at)
        elif isinstance(before, list):
            if not isinstance(now, list):
                raise InvalidSettingsUpdateError(f"{at} is no list")
            if before and all(isinstance(item, Mapping) for item in before):
                _same_items(now, before, at)


def _same_items(new: list[Any], running: list[Mapping[str, Any]], path: str) -> None:
    """Items may come and go; each has the keys that all items of its kind have had."""
    for n, item in enumerate(new):
        at = f"{path}.{n}"
        if not isinstance(item, Mapping):
            raise InvalidSettingsUpdateError(f"{at} is no object")
        alike = [before for before in running if before.get("effect") == item.get("effect")] or running
        needed = set.intersection(*(set(before) for before in alike))
        missing = sorted(needed - set(item))
        if missing:
            raise InvalidSettingsUpdateError(f"{at}.{missing[0]} is missing")


def _above_0(value: Any, path: str, whole: bool) -> None:
    number = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
    if not number or value <= 0 or (whole and value != int(value)):
        kind = "a whole number" if whole else "a number"
        raise InvalidSettingsUpdateError(f"{path} is {value!r}, not {kind} above 0")


def transitional_settings(running: Settings, new: Settings) -> Settings:
    """What is in force until the new settings are: the running ones, and the classes that appear."""
    have = {cls.name for cls in running.classes}
    appear = [cls for cls in new.classes if cls.name not in have]
    return dataclasses.replace(running, classes=[*running.classes, *appear])
