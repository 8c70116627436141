"""The command that evacuates a data centre, at nodes that refuse or do not answer."""

from __future__ import annotations

import asyncio

import testtools

from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.evacuate_command import send_until_answered
from laburnumpitch.transport.http_server import HttpServer


class CommandTest(testtools.TestCase):
    """Answers of a node, in sequence, and whether the command succeeds."""

    scenarios = [
        ("sent_again", {"statuses": [503, 429, 200], "succeeds": True}),
        ("unknown_name", {"statuses": [404], "succeeds": False}),
        ("too_late", {"statuses": [503] * 99, "succeeds": False}),
    ]

    def test_ends(self) -> None:
        """It sends the call again only if a later one may be acknowledged."""
        statuses = iter(self.statuses)

        async def handle(request, responder) -> None:
            await responder.send(next(statuses), [], request.path.encode())

        async def run() -> str:
            server = HttpServer("127.0.0.1", 0, handle)
            await server.start()
            # The first address has no node.
            addresses = ["127.0.0.1:1", f"127.0.0.1:{server.port}"]
            try:
                return await send_until_answered(addresses, "POST", "/p", 0.8)
            finally:
                await server.close()

        if self.succeeds:
            self.assertEqual("/p", asyncio.run(run()))
        else:
            self.assertRaises(LaburnumpitchError, asyncio.run, run())
