"""Log lines of a member: the event name, then `key=value` fields, of which free text is the last.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

import logging
from typing import NamedTuple


class LogLine(NamedTuple):
    """A log line and its level; WARNING means that an operator has to act or to look into the cause."""

    level: int
    text: str


def process_stalled(duration_s: float) -> LogLine:
    """Return the line for a stall of this process, which got no CPU or was stopped for `duration_s`."""
    return LogLine(logging.WARNING, f"process_stalled duration_s={duration_s:.2f}")


def join_unanswered(attempts: int) -> LogLine:
    """Return the line for a member that starts alone because no join request was answered."""
    reason = "no member answers; this member starts alone and keeps trying"
    return LogLine(logging.WARNING, f"join_unanswered attempts={attempts} reason={reason}")


def path_degraded(member: str, path: str) -> LogLine:
    """Return the line for a member that several consecutive probes did not reach directly."""
    return LogLine(logging.WARNING, f"path_degraded member={member} path={path}")


def path_restored(member: str) -> LogLine:
    """Return the line for a member that a probe has reached directly again."""
    return LogLine(logging.INFO, f"path_restored member={member}")


def name_requested(name: str, address: str) -> LogLine:
    """Return the line for a request of this member's name by another live process."""
    remedy = "give one of the two processes another name"
    return LogLine(logging.WARNING, f"name_requested name={name} address={address} remedy={remedy}")


def name_taken_over(name: str) -> LogLine:
    """Return the line for the takeover of a name whose former holder does not answer."""
    return LogLine(logging.INFO, f"name_taken_over name={name} reason=its former holder does not answer")


def name_conflict(name: str, holder: str) -> LogLine:
    """Return the line for a process that is no member, because another live process holds its name."""
    remedy = "give this process another name"
    return LogLine(logging.WARNING, f"name_conflict name={name} holder={holder} remedy={remedy}")


def foreign_datagrams(address: str) -> LogLine:
    """Return the line for the first datagram of another fleet from a source address."""
    remedy = "list only members of one fleet in each fleet's configuration"
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
    """Return the line for a change of this member's view."""
    text = (
        f"member_state_changed revision={revision} at_s={at_s:.3f} member={member} before={before} "
        f"after={after} incarnation={incarnation} source={source} reason={reason}"
    )
    return LogLine(logging.INFO, text)


def view_settled(live_count: int, digest: int, revision: int) -> LogLine:
    """Return the line for a view that has become stable and equal to the views of other members."""
    return LogLine(logging.INFO, f"view_settled living={live_count} view={digest:016x} revision={revision}")


def proxy_count_changed(before: int, after: int) -> LogLine:
    """Return the line for a change of the number of proxies among which the policy divides its limits."""
    return LogLine(logging.INFO, f"proxy_count_changed before={before} after={after}")
