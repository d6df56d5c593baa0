"""Sockets and time: downstream connections, upstream pools, discovery, and the dispatcher between them."""
