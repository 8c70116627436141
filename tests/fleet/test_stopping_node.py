"""Requests that a stopping node has read and that do not end in time."""

from __future__ import annotations

import asyncio

from laburnumpitch.errors import DrainingError
from laburnumpitch.relay.stop_deadline import StopDeadline

from ..relay.relay_case import RelayCase, make_answer, make_route
from .fleet_case import Fleet, FleetCase, make_configuration, wait_until
from .test_fleet import make_announcement

ROUTE = {
    "name": "r",
    "host": "shop.example",
    "path_prefix": "/r/",
    "timeout_ms": 10_000,
    "service": "shop",
}
REQUEST = (
    b"POST /r/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\n"
    b"Deadline-Ms: 10000\r\nContent-Length: 4\r\n\r\nbody"
)
SHORT_S = 0.3
"""Time until a node stops; less than any answer here takes."""


class SilentTarget:
    """A target that receives requests and answers none."""

    def __init__(self) -> None:
        self.requests = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Receive requests until the connection ends."""
        self.writers.append(writer)
        while await reader.read(65536):
            self.requests += 1

    def close(self) -> None:
        """Stop listening and close the connections."""
        self.server.close()
        for writer in self.writers:
            writer.close()


class CutRequestTest(FleetCase):
    """Requests that are still in progress at the end of the grace.

    Guards against requests that were read, passed on and cut with no answer, among them
    ones that may not be repeated.
    """

    scenarios = [
        (
            "order_before",
            {"kind": "non_idempotent", "is_before": True, "status": 502, "sent": 1},
        ),
        (
            "order_in_the_grace",
            {"kind": "non_idempotent", "is_before": False, "status": 503, "sent": 0},
        ),
        (
            "lookup_before",
            {"kind": "idempotent", "is_before": True, "status": 502, "sent": 1},
        ),
        (
            "stream_in_the_grace",
            {"kind": "streaming", "is_before": False, "status": 502, "sent": 1},
        ),
    ]

    def test_each_gets_an_answer(self) -> None:
        """It gets a whole answer: 503, which says that it has not run, or 502."""

        async def scenario(fleet: Fleet) -> None:
            target = SilentTarget()
            address = await target.start()
            await fleet.start()
            (host,) = fleet.hosts
            node = fleet.nodes[host]
            route = ROUTE | {"route_type": self.kind}
            configuration = make_configuration(5, routes=[route])
            await fleet.put_configuration(host, configuration)
            announcement = make_announcement(1, address=address)
            await fleet.call(host, "PUT", "/-/instances/i-1", announcement)
            await wait_until(lambda: node.fleet_view.targets.get_records())
            drain = None
            if not self.is_before:
                drain = asyncio.create_task(node.drain())
                await wait_until(lambda: node.client_server.is_draining)
            reader, writer = await asyncio.open_connection(
                host, node.client_server.port
            )
            writer.write(REQUEST)
            await wait_until(lambda: target.requests or reader._buffer)
            await (drain or node.drain())
            await fleet.stop()
            answer = await reader.read()
            writer.close()
            target.close()
            self.assertTrue(
                answer.startswith(f"HTTP/1.1 {self.status} ".encode()), answer
            )
            self.assertEqual(self.status == 503, b"retry-after" in answer.lower())
            self.assertEqual(self.sent, target.requests)

        self.run_fleet(1, 1, scenario)


class LastAnswerTest(RelayCase):
    """Requests that a node ends as it stops."""

    async def stop_soon(self) -> None:
        """Stop the node in a moment, once the requests are in progress."""
        while not self.services.stop_deadline.timeouts:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        stop_deadline = self.services.stop_deadline
        stop_deadline.start(stop_deadline.get_time_s() + SHORT_S)

    async def send(self, route: str):
        """Send a request while the node stops; return the status and its headers."""
        stop = asyncio.create_task(self.stop_soon())
        status, headers, _ = await self.send_request(route, deadline_ms=9000)
        await stop
        return status, headers

    def test_waiting_request(self) -> None:
        """One that waits for a target is refused as not run, for another node."""

        async def scenario() -> None:
            self.services.statistics.get("t0").running = 100
            self.services.dispatcher.get_queue_wait_s = lambda *args: 5.0
            status, headers = await self.send("once")
            self.assertEqual((503, "0.000"), (status, headers["retry-after"]))
            self.assertEqual([0], self.count_requests())

        self.run_relay([[make_answer()]], scenario)

    def test_late_capacity(self) -> None:
        """One that waited is not sent any more if it may be cut then."""

        async def scenario() -> None:
            statistics = self.services.statistics.get("t0")
            statistics.running = 100
            self.services.dispatcher.get_queue_wait_s = lambda *args: 5.0
            request = asyncio.create_task(self.send_request("once", deadline_ms=9000))
            while not self.services.dispatcher.count_queued():
                await asyncio.sleep(0.01)
            stop_deadline = self.services.stop_deadline
            stop_deadline.start(stop_deadline.get_time_s() + 1.0)
            statistics.running = 0
            self.services.dispatcher.wake_queues()
            status, *_ = await request
            self.assertEqual(503, status)
            self.assertEqual([0], self.count_requests())
            self.assertEqual(0, statistics.running)

        self.run_relay([[make_answer()]], scenario)

    def test_sent_request(self) -> None:
        """One that a target has may have run, so that it is not called not run."""

        async def scenario() -> None:
            for route in ("once", "read"):
                self.services.stop_deadline.start(float("inf"))
                status, headers = await self.send(route)
                self.assertEqual(502, status)
                self.assertNotIn("retry-after", headers)

        self.run_relay([[None, None]], scenario)


class TakenRequestTest(RelayCase):
    """What a node takes after it was told to stop."""

    scenarios = [
        ("order", {"kind": "non_idempotent", "left_s": 1.0, "taken": (False, False)}),
        ("order_in_time", {"kind": "non_idempotent", "left_s": 9.0, "taken": (1, 1)}),
        ("lookup", {"kind": "idempotent", "left_s": 1.0, "taken": (True, False)}),
        ("stream", {"kind": "streaming", "left_s": 1.0, "taken": (True, False)}),
    ]

    def test_taken(self) -> None:
        """Whether it is taken while clients still connect, and after that."""
        stop_deadline = StopDeadline(lambda: 100.0)
        stop_deadline.closes_at_s = 100.0 + self.left_s
        for is_taken in self.taken:
            try:
                stop_deadline.check(2.0, make_route("r", self.kind))
                self.assertTrue(is_taken)
            except DrainingError:
                self.assertFalse(is_taken)
            stop_deadline.refuse_long()
