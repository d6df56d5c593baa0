"""Daily operation: the admin server, maintenance, metrics, settings updates and hot restarts.

The package is used if the platform's configuration names a `console` address; otherwise nothing of it is
imported. `service.py` connects the parts. `routes.py`, `maintenance.py`, `metrics.py` and
`settings_update.py` are pure; the other modules perform I/O.
"""
