"""The sidecar's configuration: one short description of an application, checked before anything is started.

Deciding, without I/O or clock: model.py (the typed description), rule_model.py (the four rules, by search),
fleet_checks.py (several files as one). Doing: description.py (files, includes, overlays, the environment),
report.py (text, JSON, SARIF), __main__.py (the command).
"""
