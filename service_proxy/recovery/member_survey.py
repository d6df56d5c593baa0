"""Survey of the other proxies' recovery status by datagrams, and the answers to their queries.

`peer_survey` determines the outage from the answers.
"""

from __future__ import annotations

from collections.abc import Callable

from service_proxy.net.fleet_protocols import DatagramChannel, FleetMember, MembershipView
from service_proxy.recovery.peer_survey import Peer, RecoveryStatus, decode_status
from service_proxy.recovery.phases import RecoveryPhase

PORT = 2  # Port of recovery's datagrams and member metadata, among the subsystems that use the fleet.
# Kinds of datagrams. The kind is the first byte, and the sender's status follows.
QUERY = b"?"
ANSWER = b"!"
MAX_QUERIES = 4  # Queries per round to members of the own zone, and as many to members of other zones.
MAX_ANSWERS = 20_000  # Members whose answers are kept.


class MemberSurvey:
    """Survey of the members of the fleet, a few per round.

    Attributes:
        answers: latest status of each member that answered or queried, by the member's key.
    """

    def __init__(
        self,
        view: MembershipView,
        channel: DatagramChannel,
        zone: Callable[[], str],
        own_status: Callable[[], bytes],
    ) -> None:
        """Initialise; `zone` returns this proxy's zone, and `own_status` its encoded status."""
        self.view = view
        self.channel = channel
        self.zone = zone
        self.own_status = own_status
        self.answers: dict[bytes, RecoveryStatus] = {}
        self.next_member = 0
        # Name and process of each member that restarted in the same outage as this process.
        self.recovered_in_same_outage: set[tuple[str, tuple[int, ...]]] = set()
        channel.receive(PORT, self._on_datagram)

    def query(self) -> None:
        """Query some of the members that have not answered this process yet or are not steady."""
        unanswered = [member for member in self.view.members() if self._needs_query(member)]
        zone = self.zone()
        own_zone_members = [member for member in unanswered if member.zone == zone]
        other_zone_members = [member for member in unanswered if member.zone != zone]
        self.next_member += MAX_QUERIES
        for members in (own_zone_members, other_zone_members):
            for offset in range(min(MAX_QUERIES, len(members))):
                member = members[(self.next_member + offset) % len(members)]
                self.channel.send(PORT, QUERY + self.own_status(), member.key)

    def _needs_query(self, member: FleetMember) -> bool:
        if member.state != "alive" or member.key == self.view.own_key:
            return False
        answer = self.answers.get(member.key)
        return answer is None or answer.phase < RecoveryPhase.STEADY

    def _on_datagram(self, sender: bytes, data: bytes) -> None:
        """Store the sender's status, and answer a query."""
        kind = data[:1]
        status = decode_status(data[1:])
        if status is None or kind not in (QUERY, ANSWER):
            return
        if len(self.answers) < MAX_ANSWERS or sender in self.answers:
            self.answers[sender] = status
        if kind == QUERY:
            self.channel.send(PORT, ANSWER + self.own_status(), sender)

    def peers(self) -> list[Peer]:
        """Return all other members of the view that have not left."""
        return [
            self._peer(member)
            for member in self.view.members()
            if member.key != self.view.own_key and member.state != "left"
        ]

    def _peer(self, member: FleetMember) -> Peer:
        """Return a member with its status.

        A member that was recovering when this process first received its answer restarted in the same outage.
        Such a member doesn't count as a survivor after it has become steady.
        """
        status = self.answers.get(member.key)
        process = (member.name, member.incarnation[:2])
        if status is not None and status.phase is not RecoveryPhase.STEADY:
            self.recovered_in_same_outage.add(process)
        elif status is not None and process in self.recovered_in_same_outage:
            status = RecoveryStatus(RecoveryPhase.RAMP, status.machine_stayed_up, status.outage_at)
        is_alive = member.state in ("alive", "suspect") and member.phase != "leaving"
        return Peer(member.name, member.zone, is_alive, status)
