"""Ask the other proxies what they say of their recovery, by datagrams, and answer them.

What follows from the answers is `peer_survey`'s to say.
"""

from __future__ import annotations

from collections.abc import Callable

from service_proxy.net.fleet_protocols import DatagramChannel, FleetMember, MembershipView
from service_proxy.recovery.peer_survey import Peer, RecoveryStatus, decode_status
from service_proxy.recovery.phases import RecoveryPhase

PORT = 2  # of recovery's datagrams and member metadata, among the parts that use the fleet
# The first byte of a datagram; the sender's status follows.
QUESTION = b"?"
ANSWER = b"!"
MAX_QUESTIONS = 4  # per round, to members of the own zone and again to others
MAX_ANSWERS = 20_000  # members whose answers are kept


class MemberSurvey:
    """Asks the members of the fleet, a few per round.

    Attributes:
        answers: the latest status of each member that answered or asked, by its key.
    """

    def __init__(
        self,
        view: MembershipView,
        channel: DatagramChannel,
        zone: Callable[[], str],
        own_status: Callable[[], bytes],
    ) -> None:
        """Take the fleet's view and channel, this proxy's zone and its encoded status."""
        self.view = view
        self.channel = channel
        self.zone = zone
        self.own_status = own_status
        self.answers: dict[bytes, RecoveryStatus] = {}
        self.next_member = 0
        self.recovered_together: set[tuple[str, tuple[int, ...]]] = set()  # name and process of a member
        channel.receive(PORT, self._on_datagram)

    def query(self) -> None:
        """Query some of the members that have not answered this process yet, or are not steady."""
        silent = [member for member in self.view.members() if self._needs_query(member)]
        zone = self.zone()
        local = [member for member in silent if member.zone == zone]
        remote = [member for member in silent if member.zone != zone]
        self.next_member += MAX_QUESTIONS
        for members in (local, remote):
            for offset in range(min(MAX_QUESTIONS, len(members))):
                member = members[(self.next_member + offset) % len(members)]
                self.channel.send(PORT, QUESTION + self.own_status(), member.key)

    def _needs_query(self, member: FleetMember) -> bool:
        if member.state != "alive" or member.key == self.view.own_key:
            return False
        answer = self.answers.get(member.key)
        return answer is None or answer.phase < RecoveryPhase.STEADY

    def _on_datagram(self, sender: bytes, data: bytes) -> None:
        """Keep the sender's status, and answer a question."""
        kind = data[:1]
        status = decode_status(data[1:])
        if status is None or kind not in (QUESTION, ANSWER):
            return
        if len(self.answers) < MAX_ANSWERS or sender in self.answers:
            self.answers[sender] = status
        if kind == QUESTION:
            self.channel.send(PORT, ANSWER + self.own_status(), sender)

    def peers(self) -> list[Peer]:
        """Return all others that the view knows and that have not left."""
        return [
            self._peer(member)
            for member in self.view.members()
            if member.key != self.view.own_key and member.state != "left"
        ]

    def _peer(self, member: FleetMember) -> Peer:
        """Return a member with its status.

        One that was recovering when this process first received its answer has come back from the same
        outage, and is no survivor when it is steady.
        """
        status = self.answers.get(member.key)
        process = (member.name, member.incarnation[:2])
        if status is not None and status.phase is not RecoveryPhase.STEADY:
            self.recovered_together.add(process)
        elif status is not None and process in self.recovered_together:
            status = RecoveryStatus(RecoveryPhase.RAMP, status.machine_stayed_up, status.outage_at)
        is_alive = member.state in ("alive", "suspect") and member.phase != "leaving"
        return Peer(member.name, member.zone, is_alive, status)
