"""The log lines of a member: event first, then `key=value`; free text stands last. Pure."""

from __future__ import annotations

import logging
from typing import NamedTuple


class LogLine(NamedTuple):
    """A line for the log, and its level: a warning where somebody has something to do."""

    level: int
    text: str


def process_stalled(duration_s: float) -> LogLine:
    """Return the line of a process that got no CPU, or was stopped, for so long."""
    return LogLine(logging.WARNING, f"process_stalled duration_s={duration_s:.2f}")


def join_unanswered(attempts: int) -> LogLine:
    """Return the line of a member that begins alone, since nobody answered."""
    reason = "nobody answers; this member goes on alone and goes on asking"
    return LogLine(logging.WARNING, f"join_unanswered attempts={attempts} reason={reason}")


def path_degraded(member: str, path: str) -> LogLine:
    """Return the line of a member that several probes in a row did not reach directly."""
    return LogLine(logging.WARNING, f"path_degraded member={member} path={path}")


def path_restored(member: str) -> LogLine:
    """Return the line of a member that is reached directly again."""
    return LogLine(logging.INFO, f"path_restored member={member}")


def name_requested(name: str, address: str) -> LogLine:
    """Return the line of a member whose name another living process asks for."""
    remedy = "give one of the two processes another name"
    return LogLine(logging.WARNING, f"name_requested name={name} address={address} remedy={remedy}")


def name_taken_over(name: str) -> LogLine:
    """Return the line of a member that takes a name whose former holder does not answer."""
    return LogLine(logging.INFO, f"name_taken_over name={name} reason=its former holder does not answer")


def name_conflict(name: str, holder: str) -> LogLine:
    """Return the line of a process whose name a living process holds: it is no member."""
    remedy = "give this process another name"
    return LogLine(logging.WARNING, f"name_conflict name={name} holder={holder} remedy={remedy}")


def foreign_datagrams(address: str) -> LogLine:
    """Return the line of the first datagram of another fleet from an address."""
    remedy = "give each fleet its own members"
    return LogLine(logging.WARNING, f"foreign_datagrams address={address} remedy={remedy}")


def member_state_changed(
    revision: int,
    at_s: float,
    member: str,
    before: str,
    after: str,
    incarnation: str,
    source: str,
    reason: str,
) -> LogLine:
    """Return the line of a change of this member's view."""
    text = (
        f"member_state_changed revision={revision} at_s={at_s:.3f} member={member} before={before} "
        f"after={after} incarnation={incarnation} source={source} reason={reason}"
    )
    return LogLine(logging.INFO, text)


def view_settled(living: int, digest: int, revision: int) -> LogLine:
    """Return the line of a view that has not changed for a while and equals that of others."""
    return LogLine(logging.INFO, f"view_settled living={living} view={digest:016x} revision={revision}")


def proxy_count_changed(before: int, after: int) -> LogLine:
    """Return the line of a change of the number of proxies that the policy divides limits by."""
    return LogLine(logging.INFO, f"proxy_count_changed before={before} after={after}")
