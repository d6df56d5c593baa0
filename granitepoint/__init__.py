"""granitepoint: the decisions of a load balancer for services that call services."""

from granitepoint.interface import (
    Action,
    Arrival,
    Cancel,
    CloseIdle,
    Effect,
    Event,
    Fail,
    Fetch,
    Gone,
    Instances,
    ListKind,
    Log,
    NewSettings,
    Outcome,
    PeerMessage,
    Probe,
    Probed,
    Refuse,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Status,
    StreamStarted,
    Tell,
    Tenant,
    Timer,
    Watch,
)
from granitepoint.logic import Balancer

__all__ = [
    "Action", "Arrival", "Balancer", "Cancel", "CloseIdle", "Effect", "Event", "Fail", "Fetch", "Gone",
    "Instances", "ListKind", "Log", "NewSettings", "Outcome", "PeerMessage", "Probe", "Probed", "Refuse",
    "RequestClass", "Send", "ServerEntry", "ServerList", "ServerState", "SetTimer", "Settings", "Status",
    "StreamStarted", "Tell", "Tenant", "Timer", "Watch",
]
