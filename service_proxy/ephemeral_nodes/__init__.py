"""Endpoint source that reads ephemeral znodes of a ZooKeeper-style coordination service.

Pure, without I/O or clock:
- `codes`, `jute`, `records`, `paths`: the client protocol.
- `session_states`, `watches`: a session's states, and the watches that the session has set.
- `endpoint_node`, `children_cache`: one endpoint's data, and the known children of the path.
- `source_reports`, `merge_rules`, `merger`: the reports of each source, and the rules that merge them.

With I/O:
- `connection`, `session`, `operations`: sockets, the session over them, and requests.
- `children_reader`, `snapshot`, `source`: reads, the snapshot file, and the subsystem for the dispatcher.
- `registrar`, `register`: the registration of an endpoint, and its command.
"""
