"""Deprecated: run `python -m service_proxy.simulator_adapter` instead."""

from granitepoint import run_renamed

if __name__ == "__main__":
    run_renamed("granitepoint.benchlink", "service_proxy.simulator_adapter")
