"""Calls of engines and stores that write earlier answers once more."""

from __future__ import annotations

import asyncio

import testtools

from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.targets.http_engine import HttpEngine
from laburnumpitch.targets.http_store import HttpStore
from laburnumpitch.targets.protocols import Fence, GenerateRequest, RunEnd
from laburnumpitch.transport.http_client import HttpClient

from .repeating_server import RepeatingServer, make_answer

REQUEST = GenerateRequest("r1", "o", "m", "v", "", 5, "prompt", 64, [], [], 2)
END_LINE = (
    b'{"id":"r1","tokens":0,"recomputed_tokens":0,"reused_tokens":0,'
    b'"imported_bytes":0}\n'
)
REFUSED = make_answer(409, b"{}")
DONE = make_answer(200, b"{}")


async def generate(client: HttpClient) -> bool:
    """Return whether a prompt ran."""
    items = [item async for item in HttpEngine(client).generate(REQUEST, 1.0)]
    return isinstance(items[-1], RunEnd)


async def load_weights(client: HttpClient) -> bool:
    """Return whether an order was accepted."""
    await HttpEngine(client).load_weights("v2", Fence(1, 1), lambda: None)
    return True


class RepeatedAnswerTest(testtools.TestCase):
    """A call after another one, on a connection that may be kept."""

    scenarios = [
        (
            "prompt_after_a_refusal",
            {
                "call": generate,
                "path": "/v1/generate",
                "earlier": REFUSED,
                "answer": make_answer(200, END_LINE),
                "expected": True,
            },
        ),
        (
            "order_after_a_success",
            {
                "call": load_weights,
                "path": "/v1/orders",
                "earlier": DONE,
                "answer": REFUSED,
                "expected": False,
            },
        ),
        (
            "commit_after_a_success",
            {
                "call": lambda client: HttpStore(client).commit("p", 1, 1, "c"),
                "path": "/v1/blocks/p/commit",
                "earlier": DONE,
                "answer": REFUSED,
                "expected": False,
            },
        ),
        (
            "move_after_a_success",
            {
                "call": lambda client: HttpStore(client).move("p", 1, "disk"),
                "path": "/v1/blocks/p/move",
                "earlier": DONE,
                "answer": REFUSED,
                "expected": False,
            },
        ),
    ]

    def test_call_gets_its_own_answer(self) -> None:
        """The earlier answer doesn't count for it."""

        async def run() -> bool:
            server = RepeatingServer(
                {"/v1/state": self.earlier, self.path: self.answer}
            )
            client = HttpClient(await server.start())
            try:
                await self.call_state(client)
                return await self.call(client)
            except LaburnumpitchError:
                return False
            finally:
                client.close()
                server.close()

        self.assertEqual(self.expected, asyncio.run(run()))

    async def call_state(self, client: HttpClient) -> None:
        """Send a call whose answer the server repeats."""
        answer = await client.request(
            "GET", "/v1/state", [], b"", first_byte_timeout_s=1.0
        )
        await answer.read()
