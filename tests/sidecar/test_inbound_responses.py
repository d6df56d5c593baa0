"""Responses of the inbound listener to its clients: forwarded responses, failures, rejections."""

from __future__ import annotations

import asyncio

import pytest
from inbound_harness import (
    assert_rejected,
    never_respond,
    reset_connection,
    respond_after,
    running_inbound,
)
from net_harness import ReceivedRequest, next_request, response, run_async


def test_a_request_reaches_the_application_complete_with_its_remaining_budget() -> None:
    async def test() -> None:
        async with running_inbound() as inbound:
            client = await inbound.connect()
            answer = await client.request(
                "reserva", "1" * 16, "900m", b"pack", Cookie="sid=7", X_Caller="app"
            )
            assert answer.status_code == 200
            assert answer.body == b"done " + b"1" * 16
            received = await next_request(inbound.application)
            assert (received.method, received.target, received.body) == ("POST", "/reserva?q=1", b"pack")
            assert received.headers["idempotency-key"] == "k" + "1" * 16
            assert received.headers["cookie"] == "sid=7"
            assert 500_000 < int(received.headers["x-budget"].removesuffix("u")) < 900_000

    run_async(test())


@pytest.mark.parametrize("code", [204, 304, 404, 409, 500, 503])
def test_the_applications_response_is_forwarded(code: int) -> None:
    async def handle(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if code in (204, 304):
            writer.write(b"HTTP/1.1 %d X\r\nX-Own: 1\r\n\r\n" % code)
        else:
            writer.write(
                response(code, b"own", X_Own="1", X_Load_Report="inflight=9", Connection="keep-alive")
            )

    async def test() -> None:
        async with running_inbound(handle) as inbound:
            client = await inbound.connect()
            for number in range(2):  # the connection stays usable after the first response
                answer = await client.request("canje", f"{number:016x}")
                assert (answer.status_code, answer.headers["x-own"]) == (code, "1")
                assert answer.body == (b"" if code in (204, 304) else b"own")
                assert "x-rejected" not in answer.headers
                assert "x-load-report" not in answer.headers
                assert ("content-length" in answer.headers) is (code not in (204, 304))

    run_async(test())


def test_a_rejection_by_the_application_is_forwarded() -> None:
    async def handle(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(503, X_Rejected="1"))

    async def test() -> None:
        async with running_inbound(handle) as inbound:
            assert_rejected(await inbound.request("canje", "1" * 16))

    run_async(test())


def test_a_request_that_may_have_run_is_never_marked_as_rejected() -> None:
    """Guards against a retry of an executed request: the connection breaks after the request was sent.

    The response is 502 at once, without X-Rejected.
    """

    async def test() -> None:
        async with running_inbound(reset_connection) as inbound:
            answer = await inbound.request("canje", "1" * 16, "5000m")
            assert answer.status_code == 502
            assert "x-rejected" not in answer.headers
            assert "retry-after" not in answer.headers
            assert inbound.application.received_count == 1

    run_async(test())


def test_a_request_to_a_slow_application_is_answered_504_at_its_deadline() -> None:
    async def test() -> None:
        async with running_inbound(never_respond) as inbound:
            started_at = asyncio.get_running_loop().time()
            answer = await inbound.request("canje", "1" * 16, "200m")
            assert answer.status_code == 504
            assert "x-rejected" not in answer.headers
            assert asyncio.get_running_loop().time() - started_at < 1.0
            assert inbound.listener.admission.in_flight == 0
            assert not inbound.listener.requests

    run_async(test())


def test_a_second_request_of_one_id_is_rejected_while_the_first_is_in_flight() -> None:
    release = asyncio.Event()

    async def test() -> None:
        async with running_inbound(respond_after(release)) as inbound:
            first = await inbound.start_canje()
            assert_rejected(await inbound.request("canje", "1" * 16, "5000m"))
            assert inbound.application.received_count == 1
            release.set()
            assert (await first.response()).status_code == 200

    run_async(test())


def test_a_class_that_the_tier_does_not_serve_is_404() -> None:
    async def test() -> None:
        async with running_inbound() as inbound:
            answer = await inbound.request("otro", "1" * 16)
            assert answer.status_code == 404
            assert inbound.application.received_count == 0

    run_async(test())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"\x00\x01\x02garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
    ],
)
def test_a_truncated_or_malformed_response_is_a_failure_that_may_have_run(answer: bytes) -> None:
    async def handle(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def test() -> None:
        async with running_inbound(handle) as inbound:
            failure = await inbound.request("canje", "1" * 16)
            assert failure.status_code == 502
            assert "x-rejected" not in failure.headers

    run_async(test())
