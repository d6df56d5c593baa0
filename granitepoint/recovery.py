"""Deprecated: run `python -m service_proxy.recovery` instead."""

from granitepoint import run_renamed

if __name__ == "__main__":
    run_renamed("granitepoint.recovery", "service_proxy.recovery")
