"""Streamed response of a request, on its way from an endpoint to the client.

A client that receives the response as it arrives has it for as long as the endpoint goes on sending, also
after the request's deadline. A response that has stopped fails, so that the client doesn't wait for its rest.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from service_proxy.net.limits import ENDPOINT_STALL_S, LOOP_ITERATION_S, LOOP_STALL_S, STALL_TIMEOUT_S
from service_proxy.net.protocols import ResponseSink, ResponseSource, StreamFailure

log = logging.getLogger(__name__)


class StreamedResponse:
    """Response body between its source and its sink; it fails if it stops, or at the end of its time.

    For the sink this object is the `ResponseSource`, for the source it is the `ResponseSink`.

    Args:
        request_id: X-Call-Id of the request, for the log.
        source: source of the body.
        deadline: deadline of the request (monotonic, s); infinity: set later. A response whose endpoint is
            silent fails only after the deadline, or after STALL_TIMEOUT_S.
        end_by: time by which the body has to be complete (monotonic, s); infinity: no such time.
        on_end: called once with this object when the body is complete, has failed or is discarded.
    """

    __slots__ = (
        "_deadline",
        "_end_by",
        "_is_ended",
        "_is_paused",
        "_loop",
        "_on_end",
        "_progress_at",
        "_request_id",
        "_sink",
        "_source",
        "_timer",
    )

    def __init__(
        self,
        request_id: bytes,
        source: ResponseSource,
        deadline: float,
        end_by: float,
        on_end: Callable[[StreamedResponse], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._request_id = request_id
        self._source = source
        self._on_end = on_end
        self._sink: ResponseSink | None = None
        self._deadline = deadline
        self._end_by = end_by
        self._is_paused = False
        self._is_ended = False
        self._progress_at = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._start_timer()

    def set_deadline(self, deadline: float) -> None:
        """Set the deadline of the request (monotonic, s), which starts with the last byte of its body."""
        self._deadline = deadline
        self._start_timer()

    def limit_end(self, end_by: float) -> None:
        """Set an earlier time by which the body has to be complete (monotonic, s)."""
        self._end_by = min(self._end_by, end_by)
        self._start_timer()

    @property
    def _fails_at(self) -> float:
        """Return the time at which the response fails without further progress (monotonic, s)."""
        stalled_at = self._progress_at + STALL_TIMEOUT_S
        if not self._is_paused:  # The endpoint makes no progress, not the client.
            stalled_at = min(stalled_at, max(self._deadline, self._progress_at + ENDPOINT_STALL_S))
        return min(self._end_by, stalled_at)

    def _start_timer(self) -> None:
        """Start the timer of the response's failure; an earlier timer is replaced."""
        if self._is_ended:
            return
        self._cancel_timer()
        wait = max(0.0, self._fails_at - time.monotonic())
        self._timer = self._loop.call_later(wait, self._on_timer)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self, after_stall: bool = False) -> None:
        """Fail the response, unless it has made progress in the meantime."""
        now = time.monotonic()
        if now < self._fails_at:
            self._start_timer()
        elif not after_stall and now > self._fails_at + LOOP_STALL_S:
            # This process was stalled, and expired timers run before sockets are read: the rest of the
            # response may have arrived.
            self._timer = self._loop.call_later(LOOP_ITERATION_S, self._on_timer, True)
        elif now >= self._end_by:
            self._fail_itself(StreamFailure.OUT_OF_TIME)
        elif not self._is_paused:
            self._fail_itself(StreamFailure.ENDPOINT_STALLED)
        elif self._sink is not None and self._sink.has_accepted_data():
            self._progress_at = now
            self._start_timer()
        else:
            self._fail_itself(StreamFailure.CLIENT_STALLED)

    def _fail_itself(self, reason: StreamFailure) -> None:
        log.warning(
            "response_cut id=%s reason=%s silent_s=%.1f",
            self._request_id.decode("latin-1"),
            reason.value,
            time.monotonic() - self._progress_at,
        )
        sink = self._end()
        self._source.discard()
        if sink is not None:
            sink.fail(reason)

    def _end(self) -> ResponseSink | None:
        """Stop the timer, and return the sink, which receives nothing more; a second call has no effect."""
        self._is_ended = True
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
        self.has_accepted_data()  # Only what the client accepts from now on is progress.
        self._set_paused(True)
        self._source.pause()

    def resume(self) -> None:
        """Continue writing after `pause`."""
        self._set_paused(False)
        self._source.resume()

    def _set_paused(self, is_paused: bool) -> None:
        self._is_paused = is_paused
        self._progress_at = time.monotonic()
        self._start_timer()

    def discard(self) -> None:
        """Discard the rest of the body, because no client receives it."""
        self._end()
        self._source.discard()

    # net.protocols.ResponseSink methods, called by the endpoint's side
    def write(self, data: bytes) -> None:
        """Write the next piece of the body."""
        self._progress_at = time.monotonic()
        if self._sink is not None:
            self._sink.write(data)

    def has_accepted_data(self) -> bool:
        """Return whether the client has accepted a part of the response since the previous call."""
        return self._sink is not None and self._sink.has_accepted_data()

    def finish(self) -> None:
        """Record that the body is complete."""
        sink = self._end()
        if sink is not None:
            sink.finish()

    def fail(self, reason: StreamFailure) -> None:
        """Record that the body will never be complete."""
        sink = self._end()
        if sink is not None:
            sink.fail(reason)
