"""Deprecated: run `python -m service_proxy` instead."""

from granitepoint import run_renamed

if __name__ == "__main__":
    run_renamed("granitepoint", "service_proxy")
