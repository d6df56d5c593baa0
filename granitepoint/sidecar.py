"""Deprecated: run `python -m service_proxy.sidecar` instead."""

from granitepoint import run_renamed

if __name__ == "__main__":
    run_renamed("granitepoint.sidecar", "service_proxy.sidecar")
