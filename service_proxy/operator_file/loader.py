"""Loader of an operator's file, which returns one typed object."""

from __future__ import annotations

from typing import Any

from service_proxy.operator_file.contradictions import (
    check_fleet,
    check_membership,
    check_registration,
    check_websocket,
)
from service_proxy.operator_file.reader import OperatorError, TableReader, read_text
from service_proxy.operator_file.schema import TABLES, Operator


def load(file: str) -> Operator:
    """Return the tables of an operator's file as one typed object.

    Raises:
        OperatorError: the file has problems; the error contains all of them.
    """
    text, raw = read_text(file)
    reader = TableReader(file, text)
    tables: dict[str, Any] = {}
    for name, value in raw.items():
        cls = TABLES.get(name)
        if cls is None:
            known_tables = ", ".join(f"[{table}]" for table in TABLES)
            reader.add_problem(
                (name,), "S102", f"unknown table or key {name}", f"leave it out; known are {known_tables}"
            )
        else:
            tables[name] = reader.read_table(cls, value, (name,))
    membership = tables.get("membership")
    check_membership(reader, membership, ("membership",))
    if tables.get("registration") is not None and (membership is not None or "membership" not in raw):
        check_registration(reader, membership, ("membership",), ("registration",))
    check_websocket(reader, tables.get("websocket"), ("websocket",))
    check_fleet(reader, tables.get("fleet"), ("fleet",))
    if reader.problems:
        raise OperatorError(reader.problems)
    return Operator(file, **tables)
