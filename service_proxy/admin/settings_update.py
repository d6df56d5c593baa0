"""Validation of a reread configuration file, and the settings during the transition to it. Pure.

A new file is compared with the running one: a key that only the running file has was most likely lost by
accident, not removed on purpose.
"""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Mapping
from typing import Any

from service_proxy.admin.errors import InvalidSettingsUpdateError
from service_proxy.policy.settings_types import Settings

TRANSITION_S = 0.8  # time in which clients may still send requests according to the previous file
STARTUP_ONLY_KEYS = frozenset(("known", "seed"))
# keys of a request class whose values must be positive if present
POSITIVE_CLASS_KEYS = ("deadline", "objective", "attempts")


def parse_update(text: str, running: Mapping[str, Any]) -> dict[str, Any]:
    """Return the object of the new file; `running` is the object in use.

    Raises:
        InvalidSettingsUpdateError: the file can't be used; the message names the key.
    """
    try:
        new = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise InvalidSettingsUpdateError(f"the file is not valid JSON: {error}") from None
    if not isinstance(new, dict):
        raise InvalidSettingsUpdateError("the file is not a JSON object")
    _check_object(new, running, "")
    _check_numbers(new["settings"])
    return new


def _check_numbers(settings: Mapping[str, Any]) -> None:
    for index, request_class in enumerate(settings["grades"]):
        for key in POSITIVE_CLASS_KEYS:
            if key in request_class:
                path = f"settings.grades.{index}.{key}"
                _check_positive(request_class[key], path, is_integer=key == "attempts")
    limits = settings.get("policy_limits", {})
    if "send_cap" in limits:
        _check_positive(limits["send_cap"], "settings.policy_limits.send_cap", is_integer=True)


def _check_object(new: Mapping[str, Any], running: Mapping[str, Any], path: str) -> None:
    """Check that `new` has the keys of `running`, each with a value of the same shape."""
    for key, before in running.items():
        if not path and key in STARTUP_ONLY_KEYS:
            continue
        key_path = f"{path}.{key}" if path else key
        if key not in new:
            raise InvalidSettingsUpdateError("is missing", key_path)
        _check_shape(new[key], before, key_path)


def _check_shape(new: Any, before: Any, path: str) -> None:
    if isinstance(before, Mapping):
        if not isinstance(new, Mapping):
            raise InvalidSettingsUpdateError("is not an object", path)
        _check_object(new, before, path)
    elif isinstance(before, list):
        if not isinstance(new, list):
            raise InvalidSettingsUpdateError("is not a list", path)
        if before and all(isinstance(item, Mapping) for item in before):
            _check_items(new, before, path)


def _check_items(new: list[Any], running: list[Mapping[str, Any]], path: str) -> None:
    """Check the objects of a list; objects may be added and removed.

    Each object needs the keys that all running objects with the same effect have. If no running object has
    that effect, the object needs the keys that all running objects have.
    """
    for index, item in enumerate(new):
        item_path = f"{path}.{index}"
        if not isinstance(item, Mapping):
            raise InvalidSettingsUpdateError("is not an object", item_path)
        same_effect = [before for before in running if before.get("effect") == item.get("effect")] or running
        required = set.intersection(*(set(before) for before in same_effect))
        missing = sorted(required - set(item))
        if missing:
            raise InvalidSettingsUpdateError("is missing", f"{item_path}.{missing[0]}")


def _check_positive(value: Any, path: str, is_integer: bool) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
    if not is_number or value <= 0 or (is_integer and value != int(value)):
        kind = "a whole number" if is_integer else "a number"
        raise InvalidSettingsUpdateError(f"is {value!r}, not {kind} above 0", path)


def transitional_settings(running: Settings, new: Settings) -> Settings:
    """Return the settings in force during the transition: the running ones plus the new request classes."""
    known = {cls.name for cls in running.classes}
    added = [cls for cls in new.classes if cls.name not in known]
    return dataclasses.replace(running, classes=[*running.classes, *added])
