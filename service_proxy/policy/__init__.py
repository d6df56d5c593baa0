"""The decision module: events in, actions out; no I/O, no clock."""
