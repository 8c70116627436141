"""Data received by the event loops of several threads got mixed up."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor

import testtools

from laburnumpitch.transport.http_client import HttpClient
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

HOST = "127.0.0.1"
THREADS = 4
REQUESTS = 150


class ThreadsTest(testtools.TestCase):
    """Clients and servers in several threads, each with an event loop of its own."""

    def test_answers(self) -> None:
        """Guards against a receive buffer that the threads share."""
        with ThreadPoolExecutor(THREADS) as pool:
            found = list(pool.map(lambda n: asyncio.run(self.run_loop(n)), "abcd"))
        self.assertEqual([True] * THREADS, found)

    async def run_loop(self, name: str) -> bool:
        """Send requests to a server of this loop; return whether all answers fit."""
        body = name.encode() * 20_000

        async def answer(request: HttpRequest, responder: Responder) -> None:
            await responder.send(200, [], body)

        server = HttpServer(HOST, 0, answer)
        await server.start()
        client = HttpClient(f"{HOST}:{server.port}")
        try:
            for _ in range(REQUESTS):
                reply = await client.request(
                    "GET", "/", [], b"", first_byte_timeout_s=30.0
                )
                if await reply.read() != body:
                    return False
            return True
        finally:
            client.close()
            await server.close()
