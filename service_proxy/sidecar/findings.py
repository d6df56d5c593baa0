"""A finding in a description, before its place in a file is known. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from service_proxy.operator_file.positions import Path


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem at a path of a description, without its place in a file."""

    file: str
    path: Path
    code: str
    text: str
    instead: str
