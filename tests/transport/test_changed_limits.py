"""Limits that change while connections are open."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import replace

from laburnumpitch.transport.http_server import HttpServer

from .server_case import ANSWER_BODY, BODY, HEAD, PASSES, REQUEST, ServerCase

LOW_S = 10.0
PAUSE_S = 30.0
"""Between `LOW_S` and `HIGH_S`."""

HIGH_S = 60.0
LONG_S = 100.0
"""Longer than `HIGH_S`."""

ANSWER = "answer"
"""Step that reads an answer."""

ANSWERED = "200"
CLOSED = ""
"""No answer, as the connection was closed before the request was read."""

RAISE_IDLE = {"idle_timeout_s": HIGH_S}
LOWER_IDLE = {"idle_timeout_s": LOW_S}

# Rows are a name, limits, steps, and the status of the last answer. A step sends
# bytes, lets a time pass, changes limits or reads an answer.
IDLE_ROWS = [
    ("idle_raised_idle", LOWER_IDLE, [RAISE_IDLE, PAUSE_S, REQUEST], ANSWERED),
    ("idle_raised_ends", LOWER_IDLE, [RAISE_IDLE, LONG_S, REQUEST], CLOSED),
    ("idle_lowered_idle", RAISE_IDLE, [LOWER_IDLE, PAUSE_S, REQUEST], ANSWERED),
    ("idle_lowered_ends", RAISE_IDLE, [LOWER_IDLE, LONG_S, REQUEST], CLOSED),
    (
        "idle_raised_and_lowered",
        LOWER_IDLE,
        [RAISE_IDLE, LOWER_IDLE, PAUSE_S, REQUEST],
        ANSWERED,
    ),
    (
        "idle_lowered_before_wait",
        RAISE_IDLE,
        [LOWER_IDLE, REQUEST, ANSWER, PAUSE_S, REQUEST],
        CLOSED,
    ),
    (
        "idle_raised_in_head",
        LOWER_IDLE,
        [REQUEST[:20], RAISE_IDLE, REQUEST[20:], ANSWER, PAUSE_S, REQUEST],
        ANSWERED,
    ),
    (
        "idle_raised_in_body",
        LOWER_IDLE,
        [REQUEST[:-1], RAISE_IDLE, REQUEST[-1:], ANSWER, PAUSE_S, REQUEST],
        ANSWERED,
    ),
]
LOW_BYTES = 1000
MEDIUM_BYTES = 2000
HIGH_BYTES = 4000
LARGE_HEAD = HEAD.replace(b"\r\n\r\n", b"\r\nx: " + b"x" * MEDIUM_BYTES + b"\r\n\r\n")
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"4;x=" + b"x" * MEDIUM_BYTES + b"\r\nbody\r\n0\r\n\r\n"
RAISE_HEADER = {"header_bytes": HIGH_BYTES}
LOWER_HEADER = {"header_bytes": LOW_BYTES}

HEADER_ROWS = [
    (
        "header_raised_idle",
        LOWER_HEADER,
        [RAISE_HEADER, LARGE_HEAD[:-4], LARGE_HEAD[-4:] + BODY],
        ANSWERED,
    ),
    (
        "header_raised_in_head",
        LOWER_HEADER,
        [LARGE_HEAD[:20], RAISE_HEADER, LARGE_HEAD[20:-4], LARGE_HEAD[-4:] + BODY],
        ANSWERED,
    ),
    (
        "header_raised_in_body",
        LOWER_HEADER,
        [CHUNKED_HEAD, RAISE_HEADER, LARGE_CHUNK[:-20], LARGE_CHUNK[-20:]],
        ANSWERED,
    ),
    (
        "header_lowered_idle",
        RAISE_HEADER,
        [LOWER_HEADER, LARGE_HEAD[:-4], LARGE_HEAD[-4:] + BODY],
        ANSWERED,
    ),
    (
        "header_lowered_before_wait",
        RAISE_HEADER,
        [LOWER_HEADER, REQUEST, ANSWER, LARGE_HEAD[:-4]],
        "431",
    ),
    (
        "header_lowered_in_head",
        RAISE_HEADER,
        [LARGE_HEAD[:20], LOWER_HEADER, LARGE_HEAD[20:-4], LARGE_HEAD[-4:] + BODY],
        ANSWERED,
    ),
    (
        "header_lowered_in_body",
        RAISE_HEADER,
        [CHUNKED_HEAD, LOWER_HEADER, LARGE_CHUNK[:-20], LARGE_CHUNK[-20:]],
        ANSWERED,
    ),
]

LARGE_BODY = b"b" * MEDIUM_BYTES
LARGE_REQUEST = HEAD.replace(b" 4", b" %d" % MEDIUM_BYTES) + LARGE_BODY
IN_BODY = -10
"""Position in the body at which a request is cut."""

RAISE_BODY = {"body_bytes": HIGH_BYTES}
LOWER_BODY = {"body_bytes": LOW_BYTES}

BODY_ROWS = [
    ("body_raised_idle", LOWER_BODY, [RAISE_BODY, LARGE_REQUEST], ANSWERED),
    (
        "body_raised_in_head",
        LOWER_BODY,
        [LARGE_REQUEST[:20], RAISE_BODY, LARGE_REQUEST[20:]],
        ANSWERED,
    ),
    (
        "body_raised_in_body",
        LOWER_BODY,
        [LARGE_REQUEST[:100], RAISE_BODY, LARGE_REQUEST[100:]],
        ANSWERED,
    ),
    ("body_lowered_idle", RAISE_BODY, [LOWER_BODY, LARGE_REQUEST], ANSWERED),
    (
        "body_lowered_in_head",
        RAISE_BODY,
        [LARGE_REQUEST[:20], LOWER_BODY, LARGE_REQUEST[20:]],
        ANSWERED,
    ),
    (
        "body_lowered_in_body",
        RAISE_BODY,
        [LARGE_REQUEST[:IN_BODY], LOWER_BODY, LARGE_REQUEST[IN_BODY:]],
        ANSWERED,
    ),
    (
        "body_lowered_before_wait",
        RAISE_BODY,
        [LOWER_BODY, REQUEST, ANSWER, LARGE_REQUEST],
        "413",
    ),
]

RAISE_TIMEOUT = {"header_timeout_s": HIGH_S, "idle_timeout_s": LONG_S}
LOWER_TIMEOUT = {"header_timeout_s": LOW_S, "idle_timeout_s": LONG_S}

TIMEOUT_ROWS = [
    (
        "timeout_raised_idle",
        LOWER_TIMEOUT,
        [RAISE_TIMEOUT, REQUEST[:20], PAUSE_S, REQUEST[20:]],
        ANSWERED,
    ),
    (
        "timeout_raised_in_head",
        LOWER_TIMEOUT,
        [REQUEST[:20], RAISE_TIMEOUT, PAUSE_S, REQUEST[20:]],
        ANSWERED,
    ),
    (
        "timeout_raised_ends",
        LOWER_TIMEOUT,
        [REQUEST[:20], RAISE_TIMEOUT, LONG_S, REQUEST[20:]],
        "408",
    ),
    (
        "timeout_lowered_idle",
        RAISE_TIMEOUT,
        [LOWER_TIMEOUT, REQUEST[:20], PAUSE_S, REQUEST[20:]],
        ANSWERED,
    ),
    (
        "timeout_lowered_in_head",
        RAISE_TIMEOUT,
        [REQUEST[:20], LOWER_TIMEOUT, PAUSE_S, REQUEST[20:]],
        ANSWERED,
    ),
    (
        "timeout_lowered_before_wait",
        RAISE_TIMEOUT,
        [LOWER_TIMEOUT, REQUEST, ANSWER, REQUEST[:20], PAUSE_S, REQUEST[20:]],
        "408",
    ),
    (
        "timeout_lowered_in_body",
        RAISE_TIMEOUT,
        [REQUEST[:-1], LOWER_TIMEOUT, LOW_S * 2, REQUEST[-1:]],
        ANSWERED,
    ),
]


class ChangedLimitTest(ServerCase):
    """Limits change on a kept connection, at some point of the next request."""

    scenarios = [
        (name, {"limits": limits, "steps": steps, "status": status})
        for name, limits, steps, status in IDLE_ROWS
        + HEADER_ROWS
        + BODY_ROWS
        + TIMEOUT_ROWS
    ]

    def test_last_answer(self) -> None:
        """The highest limit since the wait for the request began holds for it."""

        async def run() -> bytes:
            server = await self.start_server(**self.limits)
            client = await self.connect(server)
            for step in [REQUEST, ANSWER, *self.steps]:
                await self.take_step(server, client, step)
            received = b""
            with contextlib.suppress(ConnectionError):
                received = await self.read_answer(client, (ANSWER_BODY, b"}"))
            await server.close()
            return received

        status = self.run_async(run()).partition(b" ")[2][:3].decode()
        self.assertEqual(self.status, status)

    async def take_step(
        self,
        server: HttpServer,
        client: socket.socket,
        step: bytes | float | str | dict[str, float],
    ) -> None:
        """Take one step, and wait until the server has taken notice of it."""
        if isinstance(step, dict):
            server.set_limits(replace(server.limits, **step))
        elif isinstance(step, float):
            self.jump(step)
            for _ in range(PASSES):
                await asyncio.sleep(0)
        elif isinstance(step, bytes):
            with contextlib.suppress(ConnectionError):
                client.sendall(step)
            await self.wait_until(
                lambda: not any(
                    connection.count_unread_bytes() for connection in server.connections
                )
            )
        else:
            await self.read_answer(client, ANSWER_BODY)
            (connection,) = server.connections
            await self.wait_until(lambda: not connection.responder.has_started)
