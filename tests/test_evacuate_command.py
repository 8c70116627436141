"""The command that evacuates a data centre, at nodes that refuse or do not answer."""

from __future__ import annotations

import asyncio
import contextlib
import io
import threading

import testtools

from laburnumpitch.cli import main
from laburnumpitch.transport.http_server import HttpServer


class CommandTest(testtools.TestCase):
    """Answers of a node, in sequence, and how the command ends."""

    scenarios = [
        ("acknowledged", {"statuses": [200], "code": 0, "arguments": []}),
        ("withdrawn", {"statuses": [200], "code": 0, "arguments": ["--withdraw"]}),
        ("sent_again", {"statuses": [503, 429, 200], "code": 0, "arguments": []}),
        ("unknown_name", {"statuses": [404, 200], "code": 1, "arguments": []}),
        (
            "too_late",
            {"statuses": [503] * 99, "code": 1, "arguments": ["--timeout-s", "0.3"]},
        ),
    ]

    def test_exit_code(self) -> None:
        """It sends the call again only if a later one may be acknowledged."""
        calls = []
        statuses = iter(self.statuses)

        async def handle(request, responder) -> None:
            calls.append((request.method, request.path))
            await responder.send(next(statuses), [], b"{}")

        async def serve() -> None:
            server = HttpServer("127.0.0.1", 0, handle)
            await server.start()
            self.port = server.port
            is_started.set()
            await asyncio.to_thread(is_done.wait)
            await server.close()

        is_started, is_done = threading.Event(), threading.Event()
        thread = threading.Thread(target=lambda: asyncio.run(serve()))
        thread.start()
        is_started.wait()
        # The first address has no node.
        addresses = ["--control", "127.0.0.1:1", "--control", f"127.0.0.1:{self.port}"]
        with contextlib.redirect_stdout(io.StringIO()):
            with contextlib.redirect_stderr(io.StringIO()):
                code = main(["evacuate", "dc b", *addresses, *self.arguments])
        is_done.set()
        thread.join()
        self.assertEqual(self.code, code)
        method = "DELETE" if "--withdraw" in self.arguments else "POST"
        self.assertEqual({(method, "/-/evacuations/dc%20b")}, set(calls))
        if self.code == 0:
            self.assertEqual(len(self.statuses), len(calls))
