"""Whole fleets: many members with faults between them, as real processes or as pure cores in virtual time."""
