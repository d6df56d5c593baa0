"""Reader of a session's credentials from the file that the operator's settings name."""

from __future__ import annotations

from pathlib import Path

from service_proxy.operator_file import Membership as MembershipSettings
from service_proxy.operator_file import OperatorError, Problem

MAX_CREDENTIALS_BYTES = 4096


def read_credentials(settings: MembershipSettings) -> bytes | None:
    """Return `user:password` from the credentials file, or None if the settings name no file.

    Raises:
        OperatorError: the file can't be read, or does not contain one line user:password.
    """
    if not settings.auth_file:
        return None
    file = settings.auth_file
    try:
        with Path(file).open("rb") as source:
            text = source.read(MAX_CREDENTIALS_BYTES).strip()
    except OSError as error:
        problem = Problem(
            file, 1, "C001", f"can't be read: {error.strerror}", "name a file that holds user:password"
        )
        raise OperatorError([problem]) from None
    user, colon, password = text.partition(b":")
    if not user or not colon or not password or b"\n" in text:
        problem = Problem(file, 1, "S105", "holds no credentials", "write one line user:password")
        raise OperatorError([problem])
    return text
