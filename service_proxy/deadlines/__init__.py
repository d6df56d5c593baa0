"""Budgets across tiers: what time, attempts and worth a request has left, passed down the chain of its calls.

Files that decide are pure: header (what travels), accounts (who may spend what), correlation (whose call is
whose), usual (what a class takes). keys reads the key file, calls holds on to the driver and the inbound
side.
"""
