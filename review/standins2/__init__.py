"""Stand-ins of the second review: backends, discovery, clients, and the proxy's own processes."""
