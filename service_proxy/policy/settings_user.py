"""Base class of the policy parts that follow settings updates."""

from __future__ import annotations

from service_proxy.policy.settings_types import Settings


class SettingsUser:
    """Part of the policy that reads the settings in force."""

    settings: Settings

    def __init__(self, settings: Settings) -> None:
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
