"""WebSocket from clients and towards endpoints (RFC 6455): messages that are requests, and tunnels.

Modules that decide (no I/O, no clock): opening_handshake, frame_codec, permessage_deflate, closing_handshake,
message_framing, session_registry, session_limits, reconnect_spread. Modules that do I/O: connection (one side
on a transport), message_session and tunnel (the two modes), listener (all sessions).
"""
