"""Connections that a node accepted right before it stops to accept any."""

from __future__ import annotations

import asyncio
import socket

import testtools

from laburnumpitch import fleet_drain
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

from .fleet_case import WAIT_S, Fleet

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER_BODY = b"whole"
ANSWER_S = 0.1
"""Time of an answer, in which the node has to wait."""

RECEIVE_BYTES = 4096


async def answer_later(request: HttpRequest, responder: Responder) -> None:
    """Answer a request after `ANSWER_S`."""
    await asyncio.sleep(ANSWER_S)
    await responder.send(200, [], ANSWER_BODY)


class LastConnectionTest(testtools.TestCase):
    """A node drains some passes of the event loop after it accepted a connection."""

    scenarios = [(f"pass_{passes}", {"passes": passes}) for passes in range(6)]

    def setUp(self) -> None:
        """Let the node stop accepting at once, and note what it accepts."""
        super().setUp()
        self.accepted = 0
        make_protocol = HttpServer.make_protocol

        def make_counted_protocol(server: HttpServer) -> asyncio.StreamReaderProtocol:
            self.accepted += 1
            return make_protocol(server)

        self.patch(HttpServer, "make_protocol", make_counted_protocol)
        self.patch(fleet_drain, "DRAIN_ACCEPT_S", 0.0)

    def test_request_is_answered(self) -> None:
        """Its request is answered before the node closes."""

        async def run() -> bytes:
            fleet = Fleet(1, 0)
            try:
                await fleet.start()
                return await self.stop_after_connecting(fleet)
            finally:
                await fleet.close()

        answer = asyncio.run(asyncio.wait_for(run(), WAIT_S))
        self.assertTrue(answer.endswith(ANSWER_BODY), answer)

    async def stop_after_connecting(self, fleet: Fleet) -> bytes:
        """Return what a client receives while its node drains and stops."""
        (host,) = fleet.hosts
        node = fleet.nodes[host]
        node.client_server.handler = answer_later
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setblocking(False)
            client.connect_ex((host, node.client_server.port))
            while not self.accepted:
                await asyncio.sleep(0)
            client.sendall(REQUEST)
            for _ in range(self.passes):
                await asyncio.sleep(0)
            await node.drain()
            await fleet.stop()
            try:
                return await loop.sock_recv(client, RECEIVE_BYTES)
            except ConnectionError:
                return b""
