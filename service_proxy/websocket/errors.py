"""Base class of the errors of WebSocket connections."""


class WebSocketError(Exception):
    """Error for an action of the peer that this side does not accept; the message describes the action."""
