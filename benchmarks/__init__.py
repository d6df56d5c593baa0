"""Benchmarks with assertions, each run by `python -m benchmarks.NAME`; see benchmarks/report.py."""
