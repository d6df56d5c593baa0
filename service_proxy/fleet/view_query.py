"""A member's view for operators: the request for a page of it, its answer, and what oddities mean. Pure.

A request has 256 bytes, and its answer no more: a view comes in pages of up to four rows.
"""

from __future__ import annotations

from dataclasses import dataclass

from service_proxy.fleet import wire
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.errors import MalformedDatagramError
from service_proxy.fleet.member_base import ANY_FLEET, PADDING_SECTION, PATH_DESCRIPTIONS
from service_proxy.fleet.member_states import MemberState
from service_proxy.fleet.members import Incarnation, ServicePhase, format_address, member_key
from service_proxy.fleet.wire import DatagramWriter, LoadSummary, MessageType, Section

MIN_MEMBERS_TO_JUDGE_PATHS = 3  # that live, below which a third of them says nothing


@dataclass(frozen=True, slots=True)
class ViewRow:
    """A member as the member that was asked sees it.

    Attributes:
        path: how it is reached, where not directly.
        in_flight_tenths: its requests in flight, in tenths of its limit; None: unknown.
        last_contact_age_s: since a datagram of its own; None: there was none.
    """

    name: str
    state: MemberState
    incarnation: Incarnation
    address: str
    tier: str
    zone: str
    phase: ServicePhase
    metadata: bytes
    path: str  # how it is reached, where not as usual
    in_flight_tenths: int | None  # of what it may hold that is in flight; None: not told
    list_version: int
    last_contact_age_s: float | None  # s ago; None: not by itself


@dataclass(frozen=True, slots=True)
class ViewPage:
    """A page of a view, with the totals of all of it.

    Attributes:
        request_id: modulo 65,536.
        row_count: of the whole view.
        revision: number of changes of the view.
        serving_count: members of the tier that serve or will.
    """

    request_id: int  # of the question, modulo 65,536
    fleet: str
    row_count: int  # of the whole view
    alive_count: int
    dead_count: int
    left_count: int
    revision: int
    settled: bool
    is_minority: bool
    in_conflict: bool
    isolated: bool
    serving_count: int
    digest: int
    rows: list[ViewRow]


def encode_view_request(
    first_row: int,
    request_id: int,
    generation: int,
    nonce: int,
    authenticator: MessageAuthenticator,
    fleet: bytes = ANY_FLEET,
) -> bytes:
    """Return the datagram that requests the rows from `first_row` on."""
    writer = DatagramWriter()
    writer.add_section(
        Section.PAGE_REQUEST, first_row.to_bytes(2, "big") + (request_id & 0xFFFF).to_bytes(2, "big")
    )
    padding = writer.remaining_bytes - 2
    writer.parts += [bytes((PADDING_SECTION, padding)), bytes(padding)]
    return authenticator.seal(
        wire.encode_datagram(
            MessageType.VIEW_REQUEST,
            fleet,
            member_key(f"staff {nonce}"),
            Incarnation(generation, nonce, 0),
            request_id,
            0,
            ServicePhase.SERVING,
            0,
            LoadSummary(),
            writer.parts,
        )
    )


def decode_view_page(data: bytes, authenticator: MessageAuthenticator) -> ViewPage:
    """Return a page.

    Raises:
        MalformedDatagramError: it is none, or its tag is wrong.
    """
    wire.peek_header(data)
    if not authenticator.verify(data):
        raise MalformedDatagramError("spoilt, or sealed with another key")
    message = wire.decode_datagram(data)
    page = message.first_value(Section.PAGE_REQUEST)
    total = message.first_value(Section.VIEW_SUMMARY)
    if (
        message.message_type != MessageType.VIEW_PAGE
        or page is None
        or total is None
        or len(total) < wire.VIEW_SUMMARY_LAYOUT.size
    ):
        raise MalformedDatagramError("no page of a view")
    rows, living, dead, departed, changes, bits, instances = wire.VIEW_SUMMARY_LAYOUT.unpack_from(total)
    return ViewPage(
        int.from_bytes(page[2:4], "big"),
        total[wire.VIEW_SUMMARY_LAYOUT.size :].decode(errors="replace"),
        rows,
        living,
        dead,
        departed,
        changes,
        bool(bits & 1),
        bool(bits & 2),
        bool(bits & 4),
        bool(bits & 8),
        instances,
        message.digest,
        [_decode_row(value) for value in message.values(Section.VIEW_ROW)],
    )


def _decode_row(value: bytes) -> ViewRow:
    if not value or len(value) < 1 + value[0] + wire.ROW_STATUS_LAYOUT.size:
        raise MalformedDatagramError("a row that is cut short")
    update = wire.unpack_record(value[1 : 1 + value[0]])
    assert update.record is not None
    state, path, in_flight_tenths, list_version, age_ms = wire.ROW_STATUS_LAYOUT.unpack_from(
        value, 1 + value[0]
    )
    states = list(MemberState)
    if state >= len(states) or path >= len(PATH_DESCRIPTIONS):
        raise MalformedDatagramError("a state or way that is none")
    return ViewRow(
        update.record.name,
        states[state],
        update.incarnation,
        format_address(update.record.address),
        update.record.tier,
        update.record.zone,
        update.phase,
        update.metadata,
        PATH_DESCRIPTIONS[path],
        None if in_flight_tenths == wire.LOAD_UNKNOWN else in_flight_tenths,
        int.from_bytes(list_version, "big"),
        None if age_ms == wire.CONTACT_UNKNOWN_MS else age_ms / 1000,
    )


def diagnose_view(page: ViewPage, rows: list[ViewRow]) -> list[str]:
    """Return what is odd about a view, a sentence each."""
    remarks = []
    if page.in_conflict:
        remarks.append("the name of the member that was asked is held by another living process")
    if page.isolated:
        remarks.append("the member that was asked sees nobody but itself")
    if page.is_minority:
        remarks.append(
            f"a minority's view: {page.alive_count} live of {page.alive_count + page.dead_count} that it knew"
        )
    remarks += [f"{row.name}: {row.path}" for row in rows if row.path]
    suspects = [row.name for row in rows if row.state is MemberState.SUSPECT]
    if suspects:
        remarks.append(f"suspected, and not yet decided on: {', '.join(sorted(suspects))}")
    indirect = sum(bool(row.path) for row in rows)
    living = sum(row.state in (MemberState.ALIVE, MemberState.SUSPECT) for row in rows)
    if living >= MIN_MEMBERS_TO_JUDGE_PATHS and indirect * 3 >= living:
        remarks.append(f"the member that was asked reaches {living - 1 - indirect} of {living - 1} directly")
    if not page.settled and not suspects:
        remarks.append("changed a moment ago, or others see something else still")
    return remarks
