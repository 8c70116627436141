"""Tests of the dispatcher's queue."""

from __future__ import annotations

import asyncio

from laburnumpitch.errors import InternalError, OverloadedError
from laburnumpitch.fleet.messages import PlaceCall
from laburnumpitch.relay.request import AdmittedRequest

from .relay_case import RelayCase, make_answer


class QueueTest(RelayCase):
    """Requests that wait in the queue for a target with capacity."""

    def test_cancelled_as_dispatched(self) -> None:
        """A request that is cancelled as it gets a target is not counted there.

        Capacity becomes free at the moment of the cancellation. If it stayed assigned
        to the cancelled request, the target would look busier than it is.
        """

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            admitted = self.make_admitted("once", prompt_tokens=500)
            limit = 2 * dispatcher.catalog.get_targets("shop")[0].slots
            acquired = [
                await dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
                for _ in range(limit)
            ]
            waiting = asyncio.ensure_future(
                dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
            )
            while not dispatcher.queue:
                await asyncio.sleep(0)
            for target in acquired:
                self.services.statistics.record_prefill_end(target, 500)
            dispatcher.release(acquired[0], admitted)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            stats = self.services.statistics.get("t0")
            self.assertEqual(
                (limit - 1, 0), (stats.running, stats.pending_prefill_tokens)
            )

        self.run_relay([[make_answer()]], scenario)

    def test_one_that_cannot_be_dispatched(self) -> None:
        """The first request in the queue fails; the one behind it gets the target."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            odd = self.make_admitted("once", prompt_tokens=0)
            sound = self.make_admitted("once", prompt_tokens=0)
            limit = 2 * dispatcher.catalog.get_targets("shop")[0].slots
            for _ in range(limit):
                target = await dispatcher.acquire(
                    sound, frozenset(), self.get_deadline_s()
                )
            waiting = []
            for admitted in (odd, sound):
                work = dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
                waiting.append(asyncio.ensure_future(work))
                while len(dispatcher.queue) < len(waiting):
                    await asyncio.sleep(0)
            make_place_call = dispatcher.make_place_call

            def fail_odd(admitted: AdmittedRequest, *arguments: object) -> PlaceCall:
                if admitted is odd:
                    raise KeyError("odd")
                return make_place_call(admitted, *arguments)

            dispatcher.make_place_call = fail_odd
            dispatcher.release(target, sound)
            results = await asyncio.gather(*waiting, return_exceptions=True)
            self.assertIsInstance(results[0], InternalError)
            self.assertEqual(target, results[1])

        self.run_relay([[make_answer()]], scenario)

    def test_no_capacity_in_time(self) -> None:
        """A request without a target in time is refused as not run."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            admitted = self.make_admitted("once", prompt_tokens=0)
            for _ in range(2 * dispatcher.catalog.get_targets("shop")[0].slots):
                await dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
            try:
                await dispatcher.acquire(admitted, frozenset(), self.get_deadline_s())
                self.fail("a target was assigned beyond its limit")
            except OverloadedError as error:
                self.assertEqual(503, error.status)

        self.run_relay([[make_answer()]], scenario)


class BuildQueueTest(RelayCase):
    """Requests that only one build's targets may take, all of which are full."""

    builds_on_record = {"v1": True, "v2": True}
    target_builds = {1: "v2"}

    def test_other_requests_are_not_blocked(self) -> None:
        """A request that any target may take does not wait behind them."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            admitted = self.make_admitted("resumed", prompt_tokens=0)
            deadline_s = self.get_deadline_s()
            for _ in range(2 * dispatcher.catalog.get_targets("shop")[0].slots):
                target = await dispatcher.acquire(
                    admitted, frozenset(), deadline_s, "v1"
                )
                self.assertEqual("t0", target.target_id)
            waiting = asyncio.ensure_future(
                dispatcher.acquire(admitted, frozenset(), deadline_s, "v1")
            )
            while not dispatcher.queue:
                await asyncio.sleep(0)
            later = self.make_admitted("resumed", prompt_tokens=0)
            target = await dispatcher.acquire(later, frozenset(), deadline_s)
            self.assertEqual("t1", target.target_id)
            self.assertFalse(waiting.done())
            waiting.cancel()

        self.run_relay([[make_answer()], [make_answer()]], scenario)
