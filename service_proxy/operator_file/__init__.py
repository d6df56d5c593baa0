"""The operator's file: one typed, frozen object, or errors with file and line.

What belongs here: schema, reader, checks. What doesn't: sockets, the platform's JSON (net/config.py), and
any subsystem's work. Importing this package imports no subsystem.
"""

from service_proxy.operator_file.reader import OperatorError, Problem, read_text
from service_proxy.operator_file.schema import (
    Budgets,
    Fleet,
    Membership,
    Operator,
    Recovery,
    Registration,
    WebSocket,
    load,
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
