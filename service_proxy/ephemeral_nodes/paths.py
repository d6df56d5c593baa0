"""Which paths the service accepts (ZooKeeper's PathUtils.validatePath). Pure."""

from __future__ import annotations

# Ranges of code points that a path may not have.
FORBIDDEN_CODE_POINTS = ((0, 0x1F), (0x7F, 0x9F), (0xD800, 0xF8FF), (0xFFF0, 0xFFFF))


def find_path_problem(path: str) -> str | None:
    """Return why the service would refuse a path, or None for a valid one."""
    if not path.startswith("/"):
        return "it does not begin with /"
    if path == "/":
        return None
    if path.endswith("/"):
        return "it ends with /"
    for part in path.split("/")[1:]:
        problem = _find_part_problem(part)
        if problem is not None:
            return problem
    return None


def _find_part_problem(part: str) -> str | None:
    if not part:
        return "it has an empty part"
    if part in (".", ".."):
        return "it has a relative part"
    for character in part:
        if any(first <= ord(character) <= last for first, last in FORBIDDEN_CODE_POINTS):
            return f"it holds the character U+{ord(character):04X}"
    return None
