"""Stand-ins, scripted peers and the recorder. Loopback only; never imported by service_proxy."""
