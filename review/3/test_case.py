"""The case as a test of pytest, for KNOWN-RED.txt; it is not part of the default test run."""

from __future__ import annotations

import subprocess
from pathlib import Path

TIMEOUT_S = 150


def test_rule_holds() -> None:
    """The rule of claim.txt holds under the disruption of claim.txt."""
    script = Path(__file__).parent / "run.sh"
    assert subprocess.run([str(script)], timeout=TIMEOUT_S, check=False).returncode == 0
