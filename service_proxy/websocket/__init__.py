"""WebSocket (RFC 6455) between clients and endpoints: messages carried as requests, and tunnels.

Modules that only decide, without I/O or clock: opening_handshake, frame_codec, permessage_deflate,
closing_handshake, message_framing, session_registry, session_limits, reconnect_spread. Modules that do I/O:
connection (one side of a WebSocket on a transport), message_session and tunnel (the two modes), listener
(all sessions).
"""
