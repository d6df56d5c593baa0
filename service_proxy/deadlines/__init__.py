"""Deadline propagation: the time, attempts and priority that a request has left, passed down its calls.

The modules that decide are pure: `header` (what travels), `request_budget` (who may spend what),
`correlation` (which request a call belongs to), `latency_estimate` (what a class takes). `key_file` reads the
keys; `filters` connects all of them to the request dispatcher.
"""
