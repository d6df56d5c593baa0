"""Daily operation: the admin server, maintenance by hand, metrics, settings updates and hot restarts.

In use where the platform's configuration names a `console` address; else nothing of it is imported.
`service.py` ties the parts together; `routes.py`, `maintenance.py`, `metrics.py` and `settings_update.py` are
pure, the others perform I/O.
"""
