"""Validation of znode paths by the rules of the service (ZooKeeper's PathUtils.validatePath). Pure."""

from __future__ import annotations

# Ranges of code points that are not valid in a path.
FORBIDDEN_CODE_POINTS = ((0, 0x1F), (0x7F, 0x9F), (0xD800, 0xF8FF), (0xFFF0, 0xFFFF))


def find_path_problem(path: str) -> str | None:
    """Return the reason why the service would refuse a path, or None for a valid one."""
    if not path.startswith("/"):
        return "the path does not begin with /"
    if path == "/":
        return None
    if path.endswith("/"):
        return "the path ends with /"
    for part in path.split("/")[1:]:
        problem = _find_part_problem(part)
        if problem is not None:
            return problem
    return None


def _find_part_problem(part: str) -> str | None:
    if not part:
        return "the path has an empty part"
    if part in (".", ".."):
        return "the path has a relative part, . or .."
    for character in part:
        if any(first <= ord(character) <= last for first, last in FORBIDDEN_CODE_POINTS):
            return f"the path contains the character U+{ord(character):04X}"
    return None
