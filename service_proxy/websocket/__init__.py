"""WebSocket from callers and towards nodes (RFC 6455): messages that are calls, and tunnels.

Files that decide (no I/O, no clock): handshake, codec, deflate, closing, envelope, sessions, limits, spread.
Files that do: peer (one side on a transport), messages and tunnel (the two modes), front (all sessions).
"""
