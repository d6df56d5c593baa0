"""Benchmarks that check their figures. `python -m benchmarks.NAME` runs one; see benchmarks/report.py."""
