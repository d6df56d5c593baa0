"""Ephemeral nodes of a ZooKeeper-style coordination service, as a source of servers.

Deciding, without I/O or clock: jute.py (the wire's records), states.py (the session), tree.py (what is known
below the path, and what to read), nodes.py (one node's JSON), merger.py (which source counts).
Doing: session.py (sockets), snapshot.py (the file), source.py (round the driver), register.py (a node's
side).
"""
