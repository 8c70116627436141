"""Requests that wait for a place, and are cancelled as they get one."""

from __future__ import annotations

import asyncio

from laburnumpitch.errors import OverloadedError

from .relay_case import RelayCase, make_answer


class CancelledWaitTest(RelayCase):
    """A client that leaves at the moment at which its request gets a place."""

    def test_nothing_stays_counted(self) -> None:
        """Its target looks as idle as it is."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            admitted = self.make_admitted("once", prompt_tokens=500)
            limit = 2 * dispatcher.catalog.get_targets("shop")[0].slots
            held = [
                await dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
                for _ in range(limit)
            ]
            waiting = asyncio.ensure_future(
                dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
            )
            while not dispatcher.queue:
                await asyncio.sleep(0)
            for target in held:
                self.services.statistics.record_prefill_end(target, 500)
            dispatcher.release(held[0], admitted)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            stats = self.services.statistics.get("t0")
            self.assertEqual(
                (limit - 1, 0), (stats.running, stats.pending_prefill_tokens)
            )

        self.run_relay([[make_answer()]], scenario)

    def test_full_service(self) -> None:
        """A request that gets no place in time is refused as not run."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            admitted = self.make_admitted("once", prompt_tokens=0)
            for _ in range(2 * dispatcher.catalog.get_targets("shop")[0].slots):
                await dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
            try:
                await dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
                self.fail("a place beyond the limit was given")
            except OverloadedError as error:
                self.assertEqual(503, error.status)

        self.run_relay([[make_answer()]], scenario)
