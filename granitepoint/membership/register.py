"""Deprecated: run `python -m service_proxy.ephemeral_nodes.register` instead."""

from granitepoint import run_renamed

if __name__ == "__main__":
    run_renamed("granitepoint.membership.register", "service_proxy.ephemeral_nodes.register")
