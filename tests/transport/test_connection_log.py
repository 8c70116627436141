"""Lines about connections that end, and requests without an answer."""

from __future__ import annotations

import asyncio

import testtools
from structlog.testing import capture_logs

from laburnumpitch.transport.connection_log import (
    LOG_INTERVAL_S,
    MAX_LINES_PER_INTERVAL,
    ConnectionLog,
    ConnectionPhase,
)
from laburnumpitch.transport.http_server import HttpRequest, Responder

from .server_case import BODY, HEAD, REQUEST, ServerCase

LONG_S = 1000.0
"""Longer than every timeout of a server."""


async def finish_nothing(request: HttpRequest, responder: Responder) -> None:
    """Return without an answer."""


async def fail(request: HttpRequest, responder: Responder) -> None:
    """Fail in the middle of an answer."""
    await responder.start(200, [])
    await responder.write(b"begun")
    raise ZeroDivisionError


async def wait_forever(request: HttpRequest, responder: Responder) -> None:
    """Wait until cancelled."""
    await asyncio.Event().wait()


class TimeoutLogTest(ServerCase):
    """Connections that are closed by a timeout."""

    scenarios = [
        ("idle", {"sent": b"", "timeouts": []}),
        ("header", {"sent": HEAD[:20], "timeouts": ["header"]}),
        ("body", {"sent": HEAD + BODY[:1], "timeouts": ["body"]}),
    ]

    def test_line(self) -> None:
        """One line names the timeout; an ordinary idle close is only counted."""

        async def run() -> int:
            server = await self.start_server()
            client = await self.connect(server)
            client.sendall(self.sent)
            (connection,) = server.connections
            await self.wait_until(
                lambda: not connection.reader.unread_bytes
                and (not self.sent or connection.has_partial_request())
            )
            self.jump(LONG_S)
            await self.wait_until(lambda: not server.connection_tasks)
            await server.close()
            return server.connection_log.idle_closes

        with capture_logs() as lines:
            idle_closes = self.run_async(run())
        self.assertEqual(self.timeouts, [line["timeout"] for line in lines])
        self.assertEqual(not self.timeouts, bool(idle_closes))


class UnansweredLogTest(ServerCase):
    """Whole requests whose connection ends without a complete answer."""

    scenarios = [
        (
            "no_answer",
            {
                "handler": finish_nothing,
                "end": "",
                "expected": {"cause": "no_answer", "has_disconnected": False},
            },
        ),
        (
            "handler_failed",
            {
                "handler": fail,
                "end": "",
                "expected": {"cause": "ZeroDivisionError", "has_disconnected": False},
            },
        ),
        (
            "client_left",
            {
                "handler": wait_forever,
                "end": "client",
                "expected": {"cause": "CancelledError", "has_disconnected": True},
            },
        ),
        (
            "server_closed",
            {
                "handler": wait_forever,
                "end": "server",
                "expected": {"cause": "CancelledError", "has_disconnected": False},
            },
        ),
    ]

    def test_line(self) -> None:
        """One line names the cause, and says whether the client had disconnected."""

        async def run() -> None:
            server = await self.start_server(self.handler)
            client = await self.connect(server)
            client.sendall(REQUEST)
            (connection,) = server.connections
            if self.end:
                await self.wait_until(lambda: server.active_requests)
                if self.end == "client":
                    client.close()
                else:
                    await server.close()
            await self.wait_until(lambda: not server.connection_tasks)
            await server.close()
            self.assertEqual(
                connection.responder.has_started, bool(connection.responder.sent_bytes)
            )

        with capture_logs() as lines:
            self.run_async(run())
        (line,) = [line for line in lines if line["event"] == "request_unanswered"]
        self.assertEqual(self.expected, {name: line[name] for name in self.expected})


class LogRateTest(testtools.TestCase):
    """Many connections that end in the same way."""

    def test_bound(self) -> None:
        """Lines above the bound are counted, and named in the next interval."""
        now_s = 0.0
        log = ConnectionLog(lambda: now_s)
        excess = 7
        with capture_logs() as lines:
            for _ in range(MAX_LINES_PER_INTERVAL + excess):
                log.record_timeout(ConnectionPhase.HEADER, 0.0, 0)
                log.record_unanswered("ConnectionError", 0, True)
            log.record_unanswered("no_answer", 0, False)
            now_s = LOG_INTERVAL_S
            log.record_timeout(ConnectionPhase.HEADER, 0.0, 0)
        self.assertEqual(2 * MAX_LINES_PER_INTERVAL + 2, len(lines))
        self.assertEqual("no_answer", lines[-2]["cause"])
        self.assertEqual(excess, lines[-1]["suppressed"])
