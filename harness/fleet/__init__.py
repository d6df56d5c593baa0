"""Fleets of many members with faults between them, as real processes or as protocol cores in virtual time."""
