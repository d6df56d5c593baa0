"""Finding in a description, before its position in a file is resolved. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from service_proxy.operator_file.positions import Path


@dataclass(frozen=True, slots=True)
class Finding:
    """Problem at a path of a description, without its position in a file."""

    file: str
    path: Path
    code: str
    text: str
    instead: str
