"""Orders to engines that write earlier answers once more."""

from __future__ import annotations

import asyncio

import testscenarios
import testtools

from laburnumpitch.errors import TargetRefusedError
from laburnumpitch.fleet.engine_client import ACCEPTED, WeightOrder
from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.platform.target_client import (
    ORDER_PATH,
    REPORT_PATH,
    PlatformEngineClient,
)

from ..transport.repeating_server import RepeatingServer, make_answer

REPORT = make_answer(200, b'{"sequence":1}')
ORDER = make_answer(202, b"{}")


class RepeatedAnswerTest(testtools.TestCase):
    """An order after a report, on a connection that may be kept."""

    def test_order_gets_its_own_answer(self) -> None:
        """The report's answer doesn't count as that of an order that was done."""

        async def run() -> str:
            server = RepeatingServer({REPORT_PATH: REPORT, ORDER_PATH: ORDER})
            address = await server.start()
            target = TargetRecord("t0", "shop", address, "dc", 1, 1, 4)
            client = PlatformEngineClient()
            try:
                await client.read_report(target)
                order = WeightOrder("m", 2, "n1", 1, 1, lambda: None)
                return await client.order_weights(target, order)
            finally:
                client.close()
                server.close()

        self.assertEqual(ACCEPTED, asyncio.run(run()))


class LeavingEngineTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """Control calls to an engine whose answers say whether it is leaving."""

    scenarios = [
        ("leaving", {"headers": ["Server-Leaving: 1"], "expected": ["t0"]}),
        (
            "named",
            {
                "headers": ["Server-Leaving: 1", "Instance-Id: t0"],
                "expected": ["t0"],
            },
        ),
        ("staying", {"headers": [], "expected": []}),
        ("zero", {"headers": ["Server-Leaving: 0"], "expected": []}),
        (
            "another_engine",
            {
                "headers": ["Server-Leaving: 1", "Instance-Id: t7"],
                "expected": [],
            },
        ),
    ]

    def call(self, path: str, answer: bytes, call) -> list[str]:
        """Call an engine and return the targets that were found to be leaving."""
        lines = "".join(f"\r\n{line}" for line in self.headers)
        answer = answer.replace(b"\r\n\r\n", f"{lines}\r\n\r\n".encode(), 1)
        leaving_ids = []

        async def run() -> None:
            server = RepeatingServer({path: answer})
            address = await server.start()
            client = PlatformEngineClient()
            client.on_leaving = lambda target: leaving_ids.append(target.target_id)
            try:
                await call(client, TargetRecord("t0", "shop", address, "dc", 1, 1, 4))
            finally:
                client.close()
                server.close()

        asyncio.run(run())
        return leaving_ids

    def test_report(self) -> None:
        """A report's header was overlooked, or taken for this engine's."""
        leaving_ids = self.call(
            REPORT_PATH, REPORT, lambda client, target: client.read_report(target)
        )
        self.assertEqual(self.expected, leaving_ids)

    def test_cold_report(self) -> None:
        """The cold time of another engine was taken for this one's."""
        found = []

        async def read(client: PlatformEngineClient, target: TargetRecord) -> None:
            client.on_cold = lambda target, cold_s: found.append(cold_s)
            await client.read_report(target)

        self.headers = [*self.headers, "Cold-Ms: 1500"]
        self.call(REPORT_PATH, REPORT, read)
        is_own = "Instance-Id: t7" not in self.headers
        self.assertEqual([1.5] if is_own else [], found)

    def test_refused_report(self) -> None:
        """A refusal's header was overlooked, or taken for this engine's."""

        async def read(client: PlatformEngineClient, target: TargetRecord) -> None:
            with testtools.ExpectedException(TargetRefusedError):
                await client.read_report(target)

        leaving_ids = self.call(REPORT_PATH, make_answer(503, b"{}"), read)
        self.assertEqual(self.expected, leaving_ids)

    def test_order(self) -> None:
        """An order's header was overlooked, or taken for this engine's."""
        order = WeightOrder("m", 2, "n1", 1, 1, lambda: None)
        leaving_ids = self.call(
            ORDER_PATH,
            ORDER,
            lambda client, target: client.order_weights(target, order),
        )
        self.assertEqual(self.expected, leaving_ids)
