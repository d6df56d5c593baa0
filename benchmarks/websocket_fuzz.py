"""Fuzzing of the frame codec, and seeded histories of the session registry, without sockets."""

from __future__ import annotations

import tracemalloc
from dataclasses import dataclass
from random import Random

from benchmarks.report import BenchmarkReport
from harness.websocket_frames import random_frames
from service_proxy.websocket.frame_codec import FrameCodec, ProtocolViolationError
from service_proxy.websocket.session_registry import MessageSession, MessageStatus, Outcome, SessionRegistry

MAX_MESSAGE_BYTES = 4096  # Message size limit of the fuzzed codec.
VIOLATION_CLOSE_CODES = frozenset((1002, 1007, 1008, 1009))
WARM_UP_STREAMS = 200  # Streams before the measurement, so that one-time allocations don't count as growth.
MAX_GROWTH_BYTES = 100_000  # Accepted memory growth over all streams.
TOKENS = 3  # Number of sessions in a history.
MESSAGE_IDS = 6  # Number of message IDs in a history.
MAX_STORED_BYTES = 20_000  # Bound of the stored bytes of all sessions in a history.
MIN_EVENTS = 5  # Bounds of the number of events in a history.
MAX_EVENTS = 60
END_SHARE = 0.2  # Share of the end events that end a session. The other end events have no effect.


@dataclass(slots=True)
class FuzzResult:
    """Results of the fuzzed streams.

    Attributes:
        violations: number of streams that ended in a protocol violation.
        events: number of events that the codec returned.
        wrong: number of other exceptions, and of violations with an undefined close code.
    """

    violations: int = 0
    events: int = 0
    wrong: int = 0


def fuzz_frames(seed: int, count: int) -> FuzzResult:
    """Decode seeded streams of valid, unusual and invalid frames, split at random positions."""
    random = Random(seed)
    result = FuzzResult()
    for _ in range(count):
        data = random_frames(random)
        try:
            _receive_in_parts(data, random, result)
        except ProtocolViolationError as violation:
            result.violations += 1
            result.wrong += violation.close_code not in VIOLATION_CLOSE_CODES
        except Exception as error:  # noqa: BLE001  # The fuzzing looks for any other exception.
            result.wrong += 1
            print(f"unexpected exception for {data.hex()}: {error!r}")
    return result


def _receive_in_parts(data: bytes, random: Random, result: FuzzResult) -> None:
    codec = FrameCodec(False, MAX_MESSAGE_BYTES)
    position = 0
    while position < len(data):
        size = random.randrange(1, len(data) + 1)
        codec.receive(data[position : position + size])
        position += size
        result.events += sum(1 for _ in codec.events())


class SessionHistory:
    """Random sequence of events on a session registry.

    Attributes:
        errors: number of messages with two outcomes, of repeated outcomes with a different number, and of
            wrong byte counts.
    """

    def __init__(self, seed: str) -> None:
        self.random = Random(seed)
        self.registry = SessionRegistry(MAX_STORED_BYTES)
        self.outcome_numbers: dict[tuple[int, str], int] = {}  # Outcome numbers by session and message ID.
        self.errors = 0
        # Two of the seven events are messages, and two are outcomes.
        self.events = (
            self.receive_message,
            self.receive_message,
            self.settle_message,
            self.settle_message,
            self.detach,
            self.resume,
            self.end,
        )

    def play(self) -> int:
        """Run the history and return the number of errors."""
        for now in range(self.random.randrange(MIN_EVENTS, MAX_EVENTS)):
            token = str(self.random.randrange(TOKENS))
            message_id = str(self.random.randrange(MESSAGE_IDS))
            session = self.registry.sessions.get(token)
            if session is None:
                self.registry.create(token, "", "p")
                continue
            event = self.events[self.random.randrange(len(self.events))]
            event(session, message_id, now)
            self.errors += not self.is_within_limit()
        for session in list(self.registry.sessions.values()):
            self.registry.end(session)
        self.errors += self.registry.stored_bytes != 0 or bool(self.registry.detached)
        return self.errors

    def is_within_limit(self) -> bool:
        """Return whether the registry's byte count equals the sum of its sessions and is within the limit."""
        stored_bytes = sum(session.stored_bytes for session in self.registry.sessions.values())
        return self.registry.stored_bytes == stored_bytes <= MAX_STORED_BYTES

    def receive_message(self, session: MessageSession, message_id: str, now: int) -> None:
        """Receive a new or repeated message."""
        key = (hash((message_id, session)), message_id)
        status, stored = session.status_of(message_id)
        if status is MessageStatus.NEW:
            session.pending[message_id] = now
            self.outcome_numbers.pop(key, None)
        elif stored is not None:
            self.errors += self.outcome_numbers.get(key) != stored.number

    def settle_message(self, session: MessageSession, message_id: str, _now: int) -> None:
        """End a message if the message is pending."""
        if message_id not in session.pending:
            return
        key = (hash((message_id, session)), message_id)
        number = session.settle(message_id)
        self.errors += key in self.outcome_numbers
        self.outcome_numbers[key] = number
        text = "x" * self.random.randrange(1, 9000)
        self.registry.store(session, Outcome(number, message_id, text))

    def detach(self, session: MessageSession, _message_id: str, now: int) -> None:
        """Disconnect the session."""
        self.registry.detach(session, now)

    def resume(self, session: MessageSession, _message_id: str, _now: int) -> None:
        """Acknowledge some outcomes, and attach a new connection to the session."""
        self.registry.acknowledge(session, self.random.randrange(1 + session.last_number))
        self.registry.resume(session.token, "", "q")

    def end(self, session: MessageSession, _message_id: str, _now: int) -> None:
        """End the session with the probability END_SHARE."""
        if self.random.random() < END_SHARE:
            self.registry.end(session)


def measure_fuzz(report: BenchmarkReport, streams: int, histories: int) -> None:
    """Fuzz the frame codec and the session registry."""
    fuzz_frames(report.seed, WARM_UP_STREAMS)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = fuzz_frames(report.seed, streams)
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    errors = sum(SessionHistory(f"{report.seed} {number}").play() for number in range(histories))
    report.record("fuzz_streams", streams, f"with {result.events} events and {result.violations} violations")
    report.record("fuzz_wrong", result.wrong, "unexpected exceptions or close codes")
    report.record("fuzz_grown", growth / 1000, "kB of memory growth over all streams")
    report.record("fuzz_histories", histories, f"histories of the session registry, {errors} errors")
    report.check(
        not result.wrong and not errors,
        "fuzzing found errors of the frame codec or the session registry",
    )
    report.check(0 < result.violations < streams, "the fuzzed streams are all valid or all invalid")
    report.check(growth < MAX_GROWTH_BYTES, f"memory grew by {growth} bytes while streams were fuzzed")
