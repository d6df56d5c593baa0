"""What an endpoint does with a request; the client draws it, and the request's query carries it."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import StrEnum
from urllib.parse import parse_qsl, urlencode, urlsplit


class Behavior(StrEnum):
    """Behavior of an endpoint that has received a request."""

    ANSWER = "answer"  # A whole response, in pieces if there are several.
    STOP = "stop"  # The first half of the pieces, and then nothing more.
    ERROR = "error"  # Status 500.
    REJECT = "reject"  # 503 with X-Rejected at the first attempt, then a whole response.
    RESET = "reset"  # The connection is reset before a response.
    HANG = "hang"  # No response.


class Framing(StrEnum):
    """What ends the body of a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Plan:
    """Behavior of the endpoint towards one request.

    Attributes:
        work_ms: time from the request's last byte to the response's first.
        size: bytes of the response's body.
        pieces: number of writes of the body.
        gap_ms: time between two pieces.
        read_rate: bytes of the request's body that the endpoint reads in a second; 0: all at once.
    """

    behavior: Behavior = Behavior.ANSWER
    work_ms: int = 20
    size: int = 20
    pieces: int = 1
    gap_ms: int = 0
    framing: Framing = Framing.LENGTH
    read_rate: int = 0

    @property
    def is_streamed(self) -> bool:
        """Return whether the response takes longer than its begin."""
        return self.pieces > 1

    def as_query(self) -> str:
        """Return the plan as the query of a request target."""
        return urlencode(asdict(self))

    @classmethod
    def of_target(cls, target: str) -> Plan:
        """Return the plan in a request target."""
        fields = dict(parse_qsl(urlsplit(target).query))
        return cls(
            Behavior(fields["behavior"]),
            int(fields["work_ms"]),
            int(fields["size"]),
            int(fields["pieces"]),
            int(fields["gap_ms"]),
            Framing(fields["framing"]),
            int(fields["read_rate"]),
        )

    def body(self, request_id: str) -> bytes:
        """Return the body of the response, which differs for each request."""
        word = f"{request_id} ".encode()
        return (word * (self.size // len(word) + 1))[: self.size]
