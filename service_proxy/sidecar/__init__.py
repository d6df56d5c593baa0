"""Configuration of the sidecar: one short description of an application, checked before anything is started.

Modules without I/O or clock: model.py (the typed description), rule_model.py (the four rules, by search) and
fleet_checks.py (several descriptions as one fleet). Modules with I/O: description.py (files, includes,
overlays and the environment), report.py (text, JSON, SARIF) and __main__.py (the command).
"""
