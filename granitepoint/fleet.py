"""Deprecated: run `python -m service_proxy.fleet` instead."""

from granitepoint import run_renamed

if __name__ == "__main__":
    run_renamed("granitepoint.fleet", "service_proxy.fleet")
