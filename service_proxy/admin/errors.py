"""Errors of the admin package."""

from __future__ import annotations


class AdminError(Exception):
    """Base class of the errors of this package."""


class UnknownEndpointError(AdminError):
    """No source lists an endpoint of this name, and none of this name is in maintenance."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no endpoint is named {name!r:.80}")
        self.name = name


class MaintenanceLimitError(AdminError):
    """As many endpoints as the record may hold are in maintenance."""

    def __init__(self, name: str, maximum: int) -> None:
        super().__init__(f"{maximum} endpoints are in maintenance; {name!r:.80} can't be added")
        self.name = name
        self.maximum = maximum


class InvalidRecordError(AdminError, ValueError):
    """A shared record can't be used; nothing of it is taken over."""


class InvalidSettingsUpdateError(AdminError, ValueError):
    """A configuration file that was read again can't be used; the settings in force stay.

    Attributes:
        path: the offending key, as `settings.grades.0.deadline`; empty where it is the file as a whole.
        problem: what is wrong with it.
    """

    def __init__(self, problem: str, path: str = "") -> None:
        super().__init__(f"{path} {problem}" if path else problem)
        self.path = path
        self.problem = problem
