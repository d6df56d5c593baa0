"""Deprecated name of the package `service_proxy.ephemeral_nodes`."""
