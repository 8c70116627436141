"""Servers whose clients make them hold much: what is read, closed and given back."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import weakref

from structlog.testing import capture_logs

from laburnumpitch.policy.client_budget import SMALL_BYTES, STALL_S, BudgetSizes
from laburnumpitch.transport.client_gate import ClientGate
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

from .server_case import ANSWER_BODY, HOST, REQUEST, ServerCase, answer_whole

SMALL_BUDGET = BudgetSizes(1024 * 1024, 8)
BODY_BYTES = 200 * 1024
"""Three such bodies exceed the part of the budget for large requests."""

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
LARGE_REQUEST = HEAD + b"x" * BODY_BYTES
SENT_AHEAD = REQUEST * 20_000
"""More than the server and the sockets take."""

MAX_UNREAD_BYTES = 256 * 1024
SOCKET_BUFFER_BYTES = 4096
LONG_ANSWER = b"x" * 4 * 1024 * 1024


class GateCase(ServerCase):
    """Base of tests of a server with a small budget."""

    async def start_small_server(self, handler=answer_whole) -> HttpServer:
        """Return a server with a small budget, whose metrics are counted."""
        self.counts: list[str] = []
        self.gate = ClientGate(SMALL_BUDGET, self.counts.append)
        server = HttpServer(HOST, 0, handler, gate=self.gate)
        await server.start()
        return server


class SentAheadTest(GateCase):
    """A client that sends requests ahead and reads no answer."""

    def test_rest_is_not_read(self) -> None:
        """The requests behind one that is handled stay unread until it is answered."""

        async def run() -> int:
            may_answer = asyncio.Event()

            async def handle(request: HttpRequest, responder: Responder) -> None:
                await may_answer.wait()
                await responder.send(200, [], ANSWER_BODY)

            server = await self.start_small_server(handle)
            client = await self.connect(server)
            with contextlib.suppress(BlockingIOError):
                while True:
                    client.send(SENT_AHEAD)
            await self.wait_until(lambda: server.active_requests)
            for _ in range(50):
                await asyncio.sleep(0)
            (connection,) = server.connections
            received_bytes = connection.reader.received_bytes
            may_answer.set()
            await self.read_answer(client, ANSWER_BODY)
            await server.close()
            return received_bytes

        self.assertLess(self.run_async(run()), MAX_UNREAD_BYTES)


class WaitingBodyTest(GateCase):
    """Bodies that do not fit into the budget together."""

    def test_all_are_answered(self) -> None:
        """Each waits until there is room, and small requests pass meanwhile."""

        async def run() -> list[bytes]:
            server = await self.start_small_server()
            clients = [await self.connect(server) for _ in range(4)]
            sends = [
                asyncio.create_task(self.loop.sock_sendall(client, LARGE_REQUEST))
                for client in clients
            ]
            answers = [await self.exchange(await self.connect(server))]
            answers += [await self.read_answer(c, ANSWER_BODY) for c in clients]
            await asyncio.gather(*sends)
            await server.close()
            return answers

        for answer in self.run_async(run()):
            self.assertIn(b"HTTP/1.1 200 ", answer)

    def test_stalled_one_is_closed(self) -> None:
        """A client that stops in the middle is closed for those that wait."""

        async def run() -> bytes:
            server = await self.start_small_server()
            stalled = [await self.connect(server) for _ in range(4)]
            sends = [
                asyncio.create_task(self.loop.sock_sendall(c, LARGE_REQUEST[:-1]))
                for c in stalled
            ]
            await self.wait_until(lambda: len(self.gate.waiters) == len(stalled) - 1)
            client = await self.connect(server)
            sends.append(
                asyncio.create_task(self.loop.sock_sendall(client, LARGE_REQUEST))
            )
            read = asyncio.create_task(self.read_answer(client, ANSWER_BODY))
            while not read.done():
                self.gate.sweep()
                self.jump(STALL_S / 2)
                await asyncio.sleep(0.01)
            await asyncio.gather(*sends, return_exceptions=True)
            await server.close()
            return await read

        with capture_logs() as lines:
            answer = self.run_async(run())
        self.assertIn(b"HTTP/1.1 200 ", answer)
        self.assertIn("client.closed", self.counts)
        closed = [line for line in lines if line["event"] == "client_closed"]
        self.assertEqual("memory", closed[0]["cause"])
        self.assertGreater(closed[0]["held_bytes"], SMALL_BYTES)


class TinyChunkTest(GateCase):
    """A body in chunks of a byte, which take far more time to parse than to send."""

    def test_body_is_refused(self) -> None:
        """It is refused after some of it, and the connection ends."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

        async def run() -> bytes:
            server = await self.start_small_server()
            client = await self.connect(server)
            await self.loop.sock_sendall(client, head + b"1\r\nx\r\n" * 60_000)
            answer = await self.read_answer(client, b"}")
            client.close()
            await self.wait_until(lambda: not server.connection_tasks)
            await server.close()
            return answer

        self.assertIn(b"HTTP/1.1 400 ", self.run_async(run()))


class CrowdTest(GateCase):
    """More connections than a listening address may have."""

    def test_idle_ones_make_room(self) -> None:
        """Those that are idle for longest are closed, and a new one is served."""

        async def run() -> bytes:
            server = await self.start_small_server()
            idle = [
                await self.connect(server)
                for _ in range(SMALL_BUDGET.max_server_connections)
            ]
            refused, _ = await asyncio.open_connection(HOST, server.port)
            with contextlib.suppress(ConnectionError):
                self.assertEqual(b"", await refused.read())
            self.gate.sweep()
            self.jump(STALL_S)
            await self.wait_until(lambda: len(server.connections) < len(idle))
            answer = await self.exchange(await self.connect(server))
            await server.close()
            return answer

        self.assertIn(b"HTTP/1.1 200 ", self.run_async(run()))
        self.assertIn("client.refused", self.counts)
        self.assertIn("client.closed", self.counts)


class ReleasedMemoryTest(GateCase):
    """Connections that end in the middle of a request or an answer."""

    scenarios = [
        ("body", {"sent": LARGE_REQUEST[:-1]}),
        ("answer", {"sent": REQUEST}),
        ("refused", {"sent": b"nonsense\r\n\r\n"}),
    ]

    def test_nothing_is_kept(self) -> None:
        """Nothing refers to the connection, so that no garbage collection is needed."""

        async def answer_at_length(request: HttpRequest, responder: Responder) -> None:
            await responder.send(200, [], LONG_ANSWER)

        async def run() -> bool:
            server = await self.start_small_server(answer_at_length)
            client = await self.connect(server, SOCKET_BUFFER_BYTES)
            await self.loop.sock_sendall(client, self.sent)
            await self.wait_until(lambda: not next(iter(server.connections)).is_idle())
            reference = weakref.ref(next(iter(server.connections)))
            client.close()
            await self.wait_until(lambda: not server.connection_tasks)
            await asyncio.sleep(0)
            is_kept = reference() is not None
            self.assertEqual(0, self.gate.budget.held_bytes)
            await server.close()
            return is_kept

        gc.disable()
        self.addCleanup(gc.enable)
        self.assertFalse(self.run_async(run()))


class SlowAnswerTest(GateCase):
    """The process stops while a client reads a large answer."""

    def test_rest_is_sent(self) -> None:
        """What was not written yet is written at once, so that it can be sent."""

        async def run() -> bytes:
            body = b"x" * 300_000

            async def handle(request: HttpRequest, responder: Responder) -> None:
                await responder.send(200, [], body)

            server = await self.start_small_server(handle)
            client = await self.connect(server, SOCKET_BUFFER_BYTES)
            client.sendall(REQUEST)
            await self.wait_until(lambda: server.active_requests)
            for _ in range(10):
                await asyncio.sleep(0)
            read = asyncio.create_task(self.read_answer(client, b"never"))
            await server.close()
            received = await read
            return received.partition(b"\r\n\r\n")[2]

        self.assertEqual(300_000, len(self.run_async(run())))
