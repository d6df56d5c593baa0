"""Deadline propagation: passes the time, attempts and priority that a request has left down its calls.

Modules that only decide, without I/O: `header` (encoding of the budget header), `request_budget` (allocation
and spending of attempts), `correlation` (assignment of calls to requests) and `latency_estimate` (usual
latency of a class). `propagation` has the state that a process shares, and `inbound` and `outbound` are the
request dispatcher's filters. The keys are read by operator_file.key_file.
"""
