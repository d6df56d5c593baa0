"""Decision module of the proxy: turns events into actions without I/O and without a clock."""
