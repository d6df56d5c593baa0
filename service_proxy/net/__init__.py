"""Network side of the proxy: downstream connections, upstream pools, discovery and the request dispatcher."""
