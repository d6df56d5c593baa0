"""Reader of the operator's file: returns one typed, frozen object, or raises errors with file and line.

`loader` reads a file, using `reader`, into the tables of `schema`. `value_checks` and `contradictions` find
problems, and `positions` finds their lines. `codes` explains each kind of finding. `key_file` reads the keys
that a table names. Importing this package imports no subsystem.
"""

from service_proxy.operator_file.loader import load
from service_proxy.operator_file.reader import OperatorError, Problem, read_text
from service_proxy.operator_file.schema import (
    Budgets,
    Fleet,
    Membership,
    Operator,
    Recovery,
    Registration,
    WebSocket,
)

__all__ = [
    "Budgets",
    "Fleet",
    "Membership",
    "Operator",
    "OperatorError",
    "Problem",
    "Recovery",
    "Registration",
    "WebSocket",
    "load",
    "read_text",
]
