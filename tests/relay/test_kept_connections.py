"""Connections to targets that are kept for the next request."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

from .relay_case import (
    API_KEY,
    CONFIGURATION,
    HOST,
    PacedAnswer,
    RelayCase,
    make_answer,
)
from .test_relay import CHUNKED_HEAD, EVENTS, make_chunk

LARGE_BODY = b"x" * 6_000_000
"""A body that does not fit in the buffers between the relay and its client."""

RECEIVE_BUFFER_BYTES = 4096
RECEIVE_BYTES = 1 << 20
PAUSE_S = 1.0
"""A pause in an answer, in which another request of the relay ends."""

DEADLINE_S = 8.0
"""A deadline that no pause reaches."""

SLOW_HEAD = (
    f"GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: slow\r\n"
    f"Authorization: Bearer {API_KEY}\r\n\r\n"
).encode()


class SequenceTest(RelayCase):
    """Requests to one target, one after another."""

    scenarios = [("read", {"route": "read"}), ("stream", {"route": "stream"})]

    def test_one_connection(self) -> None:
        """All of them are sent on the connection of the first."""

        async def scenario() -> None:
            for _ in range(4):
                status, *_ = await self.send_request(self.route)
                self.assertEqual(200, status)
            self.assertEqual(1, self.targets[0].connections)

        self.run_relay([[make_answer(body=EVENTS)] * 4], scenario)


class SharedConnectionTest(RelayCase):
    """A slow client reads its answer while another request uses the connection."""

    scenarios = [
        ("answer", {"route": "once", "parts": (b"", make_answer()), "body": b"whole"}),
        (
            "stream",
            {
                "route": "stream",
                "parts": (
                    CHUNKED_HEAD + make_chunk(EVENTS[: len(EVENTS) // 2]),
                    make_chunk(EVENTS[len(EVENTS) // 2 :]) + b"0\r\n\r\n",
                ),
                "body": EVENTS,
            },
        ),
    ]

    def test_other_request_is_answered(self) -> None:
        """The end of the slow client's answer does not close the connection."""

        async def scenario() -> None:
            routes = [replace(r, timeout_s=DEADLINE_S) for r in CONFIGURATION.routes]
            self.change_configuration(routes=tuple(routes))
            slow_client = await self.start_slow_request()
            pool = self.services.clients.get(self.get_address())
            while not pool.idle_connections:
                await asyncio.sleep(0.01)
            sending = asyncio.create_task(
                self.send_request(self.route, deadline_ms=int(DEADLINE_S * 1000))
            )
            while self.count_requests() != [2]:
                await asyncio.sleep(0.01)
            self.assertGreater(await self.read_whole(slow_client), len(LARGE_BODY))
            status, _, body = await sending
            self.assertEqual((200, self.body), (status, body))
            self.assertEqual(1, self.targets[0].connections)

        first = make_answer(body=LARGE_BODY, request_id="slow")
        second = PacedAnswer(self.parts, PAUSE_S)
        self.run_relay([[first, second]], scenario)

    def get_address(self) -> str:
        """Return the address of the target."""
        (record,) = self.fleet_view.targets.get_records()
        return record.address

    async def start_slow_request(self) -> socket.socket:
        """Send a request, and return its client, which has read nothing yet."""
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (HOST, self.server.port))
        await loop.sock_sendall(client, SLOW_HEAD)
        return client

    async def read_whole(self, client: socket.socket) -> int:
        """Return the size of a client's answer once it has arrived."""
        loop = asyncio.get_running_loop()
        size = 0
        while size < len(LARGE_BODY):
            data = await loop.sock_recv(client, RECEIVE_BYTES)
            if not data:
                break
            size += len(data)
        # The relay may not have seen yet that everything was read.
        while self.services.statistics.get("t0").running > 1:
            await asyncio.sleep(0.01)
        return size
