"""The base class of what goes wrong on a WebSocket."""


class WebSocketError(Exception):
    """The peer has done something that this side does not accept; the message says what."""
