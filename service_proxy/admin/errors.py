"""Errors of the admin package."""

from __future__ import annotations


class AdminError(Exception):
    """Base class of the errors of this package."""


class UnknownEndpointError(AdminError):
    """Raised for an endpoint name that no source lists and that is not in maintenance."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no endpoint is named {name!r:.80}")
        self.name = name


class MaintenanceLimitError(AdminError):
    """Raised if the largest number of endpoints that the record may contain is already in maintenance."""

    def __init__(self, name: str, maximum: int) -> None:
        super().__init__(f"{maximum} endpoints are in maintenance; {name!r:.80} can't be added")
        self.name = name
        self.maximum = maximum


class InvalidRecordError(AdminError, ValueError):
    """Raised for a shared record that can't be used; nothing of the record is applied."""


class InvalidSettingsUpdateError(AdminError, ValueError):
    """Raised for a reread configuration file that can't be used; the settings in force stay.

    Attributes:
        path: the invalid key, such as `settings.grades.0.deadline`; empty if the file as a whole is invalid.
        problem: what is wrong with the key or the file.
    """

    def __init__(self, problem: str, path: str = "") -> None:
        super().__init__(f"{path} {problem}" if path else problem)
        self.path = path
        self.problem = problem
