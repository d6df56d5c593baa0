"""The credentials of a session, in a file that the operator names."""

from __future__ import annotations

from pathlib import Path

from service_proxy.operator_file import Membership as MembershipSettings
from service_proxy.operator_file import OperatorError, Problem

MAX_CREDENTIALS_BYTES = 4096


def read_credentials(settings: MembershipSettings) -> bytes | None:
    """Return `user:password` of the file, or None where the operator names none.

    Raises:
        OperatorError: the file can't be read, or holds something else.
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
