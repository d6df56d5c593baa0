"""Base of the parts of the policy that follow settings updates."""

from __future__ import annotations

from service_proxy.policy.settings_types import Settings


class SettingsUser:
    """A part of the policy that reads the settings in force."""

    settings: Settings

    def __init__(self, settings: Settings) -> None:
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Put new settings in force."""
        self.settings = settings
