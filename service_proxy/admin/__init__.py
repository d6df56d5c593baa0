"""Daily operation: the second address, maintenance by hand, figures, new settings and upgrades.

On where the platform's configuration names a `console`; else nothing here is imported.
"""
