"""The same verdict every time: hypothesis draws what it drew before."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
