"""Orders to engines that write earlier answers once more."""

from __future__ import annotations

import asyncio

import testtools

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
