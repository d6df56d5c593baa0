"""Reader of the key file that [budgets] names: one key per line, `ID HEX`.

The first key signs, and all keys are accepted. Deadline propagation and the fleet's message authentication
use the same keys, each for its own purpose.
"""

from __future__ import annotations

import os
import re

from service_proxy.operator_file.reader import OperatorError, Problem
from service_proxy.operator_file.schema import Operator

MAX_KEYS = 2  # the current key and, during a rotation, the previous one
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_FILE_BYTES = 1024
LINE = re.compile(r"([a-z0-9]{1,16}) ([0-9a-f]+)")
EXAMPLE = 'write a line "k1 " and 32 to 128 lowercase hex digits'
WORLD_ACCESS_BITS = 0o007  # permission bits of users other than the file's owner and group


def read_keys(file: str) -> dict[bytes, bytes]:
    """Return the keys by id, in the file's order.

    Raises:
        OperatorError: the file can't be used; the error has file and line, and never contains a key.
    """

    def key_file_error(line: int, code: str, text: str, remedy: str) -> OperatorError:
        return OperatorError([Problem(file, line, code, text, remedy)])

    try:
        with open(file, "rb") as source:
            mode = os.fstat(source.fileno()).st_mode
            data = source.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise key_file_error(
            1, "C001", f"can't be read: {error.strerror}", "name the file that holds the fleet's keys"
        ) from None
    if mode & WORLD_ACCESS_BITS:
        raise key_file_error(1, "S105", "may be read by everybody on this machine", "run chmod o-rwx on it")
    if len(data) > MAX_FILE_BYTES:
        raise key_file_error(1, "C003", f"larger than {MAX_FILE_BYTES} bytes", EXAMPLE)
    keys: dict[bytes, bytes] = {}
    for number, line in enumerate(data.decode("latin-1").splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        match = LINE.fullmatch(line.rstrip())
        if match is None or len(match[2]) % 2 or not MIN_KEY_BYTES <= len(match[2]) // 2 <= MAX_KEY_BYTES:
            raise key_file_error(number, "S105", "is no key", EXAMPLE)
        if match[1].encode() in keys or bytes.fromhex(match[2]) in keys.values():
            raise key_file_error(number, "S107", "is given twice", "remove one of the two lines")
        keys[match[1].encode()] = bytes.fromhex(match[2])
    if not 1 <= len(keys) <= MAX_KEYS:
        raise key_file_error(
            1, "S105", f"holds {len(keys)} keys", f"write one, or {MAX_KEYS} while they are rotated"
        )
    return keys


def read_fleet_keys(operator: Operator) -> list[bytes]:
    """Return the keys that authenticate the fleet's datagrams: those of [budgets], or none without [budgets].

    Raises:
        OperatorError: the key file can't be used.
    """
    if operator.fleet is None or operator.budgets is None:
        return []
    return list(read_keys(operator.budgets.keys_file).values())
