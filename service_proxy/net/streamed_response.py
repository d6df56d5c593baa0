"""Streamed response of a request, which ends at the request's deadline whoever writes it to the client."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from service_proxy.net.limits import LOOP_ITERATION_S, LOOP_STALL_S
from service_proxy.net.protocols import ResponseSink, ResponseSource


class StreamedResponse:
    """Response body between its source and its sink; it fails at the deadline if it is not complete by then.

    For the sink this object is the `ResponseSource`, for the source it is the `ResponseSink`.

    Args:
        source: source of the body.
        deadline: time by which the body has to be complete (monotonic, s); infinity: set later.
        on_end: called once with this object when the body is complete, has failed or is discarded.
    """

    __slots__ = ("_deadline", "_loop", "_on_end", "_sink", "_source", "_timer")

    def __init__(
        self, source: ResponseSource, deadline: float, on_end: Callable[[StreamedResponse], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._source = source
        self._on_end = on_end
        self._sink: ResponseSink | None = None
        self._deadline = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self.limit_deadline(deadline)

    def limit_deadline(self, deadline: float) -> None:
        """Set an earlier deadline (monotonic, s); a later one has no effect."""
        if deadline >= self._deadline:
            return
        self._deadline = deadline
        self._cancel_timer()
        wait = max(0.0, deadline - time.monotonic())
        self._timer = self._loop.call_later(wait, self._on_deadline)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_deadline(self, after_stall: bool = False) -> None:
        if not after_stall and time.monotonic() > self._deadline + LOOP_STALL_S:
            # This process was stalled, and expired timers run before sockets are read: the rest of the
            # response may have arrived.
            self._timer = self._loop.call_later(LOOP_ITERATION_S, self._on_deadline, True)
            return
        sink = self._end()
        self._source.discard()
        if sink is not None:
            sink.fail(is_overdue=True)

    def _end(self) -> ResponseSink | None:
        """Stop the timer, and return the sink, which receives nothing more; a second call has no effect."""
        self._deadline = -math.inf
        self._cancel_timer()
        sink, self._sink = self._sink, None
        self._on_end(self)
        return sink

    # net.protocols.ResponseSource methods, called by the client's side
    def stream_to(self, sink: ResponseSink) -> None:
        """Write the body to this sink from now on."""
        self._sink = sink
        self._source.stream_to(self)

    def pause(self) -> None:
        """Stop writing until `resume`, because the sink's buffer is full."""
        self._source.pause()

    def resume(self) -> None:
        """Continue writing after `pause`."""
        self._source.resume()

    def discard(self) -> None:
        """Discard the rest of the body, because no client receives it."""
        self._end()
        self._source.discard()

    # net.protocols.ResponseSink methods, called by the endpoint's side
    def write(self, data: bytes) -> None:
        """Write the next piece of the body."""
        if self._sink is not None:
            self._sink.write(data)

    def finish(self) -> None:
        """Record that the body is complete."""
        sink = self._end()
        if sink is not None:
            sink.finish()

    def fail(self, is_overdue: bool = False) -> None:
        """Record that the body will never be complete."""
        sink = self._end()
        if sink is not None:
            sink.fail(is_overdue)
