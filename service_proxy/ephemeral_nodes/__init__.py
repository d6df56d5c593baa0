"""Ephemeral znodes of a ZooKeeper-style coordination service, as a source of endpoints.

Pure, without I/O or clock:

- `codes`, `jute`, `records`, `paths`: the client protocol.
- `session_states`, `watches`: a session's states and the watches that it has set.
- `endpoint_node`, `children_cache`: one endpoint's data; what is known below the path, and what to read.
- `source_reports`, `merge_rules`, `merger`: which source counts.

With I/O:

- `connection`, `session`, `operations`: sockets, the session over them, and requests.
- `children_reader`, `snapshot`, `source`: reading, the file, and the subsystem for the dispatcher.
- `registrar`, `register`: an endpoint's side, and its command.
"""
