"""A member's view for operators: the request for a page, its reply, and findings about the view.

A request has 256 bytes and a reply is not longer, so a view is sent in pages of up to four rows. Performs no
I/O and reads no clock.
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

# Live members below which the share of members without a direct path is not reported.
MIN_MEMBERS_TO_JUDGE_PATHS = 3


@dataclass(frozen=True, slots=True)
class ViewRow:
    """A member in the view of the queried member.

    Attributes:
        path: one of PATH_DESCRIPTIONS; empty if the member is reached directly.
        in_flight_tenths: the member's requests in flight, in tenths of its limit; None: unknown.
        list_version: version of the endpoint list that the member uses, modulo 2^24.
        last_contact_age_s: seconds since the last datagram of the member itself; None: no datagram arrived.
    """

    name: str
    state: MemberState
    incarnation: Incarnation
    address: str
    tier: str
    zone: str
    phase: ServicePhase
    metadata: bytes
    path: str
    in_flight_tenths: int | None
    list_version: int
    last_contact_age_s: float | None


@dataclass(frozen=True, slots=True)
class ViewPage:
    """A page of a view, with the totals of the whole view.

    Attributes:
        request_id: id of the request that this page answers, modulo 65,536.
        row_count: rows of the whole view.
        revision: number of changes of the view.
        serving_count: members of the tier that serve requests or will.
    """

    request_id: int
    fleet: str
    row_count: int
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
    """Return the page of a view that a datagram contains.

    Raises:
        MalformedDatagramError: the datagram is malformed or contains no page, or its tag is wrong.
    """
    wire.peek_header(data)
    if not authenticator.verify(data):
        raise MalformedDatagramError("a corrupted datagram, or one that was signed with another key")
    message = wire.decode_datagram(data)
    page = message.first_value(Section.PAGE_REQUEST)
    summary = message.first_value(Section.VIEW_SUMMARY)
    if (
        message.message_type != MessageType.VIEW_PAGE
        or page is None
        or summary is None
        or len(summary) < wire.VIEW_SUMMARY_LAYOUT.size
    ):
        raise MalformedDatagramError("a datagram without a page of a view")
    rows, live_count, dead_count, left_count, revision, flags, serving_count = (
        wire.VIEW_SUMMARY_LAYOUT.unpack_from(summary)
    )
    return ViewPage(
        int.from_bytes(page[2:4], "big"),
        summary[wire.VIEW_SUMMARY_LAYOUT.size :].decode(errors="replace"),
        rows,
        live_count,
        dead_count,
        left_count,
        revision,
        bool(flags & 1),
        bool(flags & 2),
        bool(flags & 4),
        bool(flags & 8),
        serving_count,
        message.digest,
        [_decode_row(value) for value in message.values(Section.VIEW_ROW)],
    )


def _decode_row(value: bytes) -> ViewRow:
    if not value or len(value) < 1 + value[0] + wire.ROW_STATUS_LAYOUT.size:
        raise MalformedDatagramError("a truncated row")
    update = wire.unpack_record(value[1 : 1 + value[0]])
    assert update.record is not None
    state, path, in_flight_tenths, list_version, age_ms = wire.ROW_STATUS_LAYOUT.unpack_from(
        value, 1 + value[0]
    )
    states = list(MemberState)
    if state >= len(states) or path >= len(PATH_DESCRIPTIONS):
        raise MalformedDatagramError("a row with an unknown state or path")
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
    """Return the findings about a view, one sentence each."""
    remarks = []
    if page.in_conflict:
        remarks.append("the queried member is in conflict: another live process holds its name")
    if page.isolated:
        remarks.append("the queried member sees no other live member")
    if page.is_minority:
        remarks.append(
            f"minority view: {page.alive_count} of {page.alive_count + page.dead_count} known are live"
        )
    remarks += [f"{row.name}: {row.path}" for row in rows if row.path]
    suspects = [row.name for row in rows if row.state is MemberState.SUSPECT]
    if suspects:
        remarks.append(f"suspected, not yet declared dead: {', '.join(sorted(suspects))}")
    indirect = sum(bool(row.path) for row in rows)
    live_count = sum(row.state in (MemberState.ALIVE, MemberState.SUSPECT) for row in rows)
    if live_count >= MIN_MEMBERS_TO_JUDGE_PATHS and indirect * 3 >= live_count:
        remarks.append(
            f"the queried member reaches {live_count - 1 - indirect} of {live_count - 1} members directly"
        )
    if not page.settled and not suspects:
        remarks.append("the view changed recently, or other members still have a different view")
    return remarks
