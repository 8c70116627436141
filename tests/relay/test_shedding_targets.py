"""Requests that went to targets which had asked for none for a time."""

from __future__ import annotations

import asyncio
import time

from laburnumpitch.fleet.messages import PlaceAnswer
from laburnumpitch.relay.placement_client import Placement

from .relay_case import SERVICE, make_answer
from .test_leaving_targets import FULL, LeavingTargetCase

WHOLE = make_answer()
MAX_REQUESTS = 2
"""Most requests that may reach a target in the time that it stated, by the users'
rules."""

SHED_S = 0.8
"""Stated time of the tests that wait for its end."""

MAX_SHED_S = SHED_S * 1.25
"""Time after which requests go to the target again."""

TRIAL_SHED_S = 2.0
"""Stated time of the test that waits for a trial."""

INTERVAL_S = 0.05
"""Interval between requests."""


def make_refusal(retry_after: str, status: int = 503, is_confirmed: bool = True):
    """Return an answer that turns a request away and states a time."""
    lines = [f"Retry-After: {retry_after}"]
    if is_confirmed:
        lines.append("Not-Executed: 1")
    return make_answer(status, b"", seal="", extra="\r\n".join(lines))


class StatedTimeTest(LeavingTargetCase):
    """The preferred target states a time."""

    scenarios = [
        ("whole", {"refusal": make_refusal("3"), "requests": [1, 2]}),
        ("fraction", {"refusal": make_refusal("2.5"), "requests": [1, 2]}),
        ("huge", {"refusal": make_refusal("9" * 400), "requests": [1, 2]}),
        ("zero", {"refusal": make_refusal("0"), "requests": [2, 1]}),
        ("negative", {"refusal": make_refusal("-3"), "requests": [2, 1]}),
        ("exponent", {"refusal": make_refusal("3e1"), "requests": [2, 1]}),
        ("no_number", {"refusal": make_refusal("nan"), "requests": [2, 1]}),
        ("infinite", {"refusal": make_refusal("inf"), "requests": [2, 1]}),
        (
            "date",
            {
                "refusal": make_refusal("Wed, 21 Oct 2099 07:28:00 GMT"),
                "requests": [2, 1],
            },
        ),
        ("other_status", {"refusal": make_refusal("3", 429), "requests": [2, 1]}),
        (
            "not_confirmed",
            {
                "refusal": make_refusal("3", is_confirmed=False),
                "requests": [2, 1],
            },
        ),
    ]

    def test_next_request(self) -> None:
        """The next request went to the target, or avoided it for no reason."""

        async def scenario() -> None:
            status, *_ = await self.send_request("read")
            self.assertEqual(200, status)
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual(self.requests, self.count_requests())

        self.run_relay([[self.refusal, WHOLE], [WHOLE, WHOLE]], scenario)


class EndedTimeTest(LeavingTargetCase):
    """The stated time has ended, or the target starts anew."""

    def test_time_has_ended(self) -> None:
        """The target got no requests any more."""

        async def scenario() -> None:
            await self.send_request("read")
            await asyncio.sleep(MAX_SHED_S)
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual([2, 1], self.count_requests())

        self.run_relay([[make_refusal(str(SHED_S)), WHOLE], [WHOLE, WHOLE]], scenario)

    def test_new_incarnation(self) -> None:
        """A new incarnation was left alone, too."""

        async def scenario() -> None:
            await self.send_request("read")
            self.announce(born_ms=2, sequence=1)
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual([2, 1], self.count_requests())

        self.run_relay([[make_refusal("9"), WHOLE], [WHOLE, WHOLE]], scenario)


class OnlySheddingTargetsTest(LeavingTargetCase):
    """The only target of a service states a time."""

    def test_requests_meanwhile(self) -> None:
        """More than the allowed requests reached it, or not even one trial."""

        async def scenario() -> None:
            await self.send_request("once")
            end_s = time.monotonic() + TRIAL_SHED_S
            while time.monotonic() < end_s:
                answers = [self.send_request("once") for _ in range(3)]
                for status, headers, _ in await asyncio.gather(*answers):
                    self.assertEqual(503, status)
                    self.assertIn("retry-after", headers)
                await asyncio.sleep(INTERVAL_S)
            reached = len(self.targets[0].requests) - 1
            self.assertTrue(1 <= reached <= MAX_REQUESTS, reached)

        self.run_relay([[make_refusal(str(TRIAL_SHED_S))] * FULL], scenario)

    def test_queued(self) -> None:
        """A request went on waiting for it."""

        async def scenario() -> None:
            self.services.statistics.get("t0").running = FULL
            request = asyncio.create_task(self.send_request("read"))
            while not self.services.dispatcher.count_queued():
                await asyncio.sleep(0)
            record = self.fleet_view.targets.entries["t0"].record
            self.services.record_shedding(record, SHED_S)
            status, _, body = await request
            self.assertEqual((503, b"no_target"), (status, body))

        self.run_relay([[]], scenario)


class PlacementTest(LeavingTargetCase):
    """A coordinator places requests at the target, as it may for other nodes."""

    def test_placed_at_shedding_target(self) -> None:
        """The coordinator was not told, or its placement was used."""
        calls = []

        class Coordinator:
            """Places each request at the first target."""

            async def request_placement(self, call):
                """Return a placement at the first target."""
                calls.append(call)
                return PlaceAnswer("t0", 1, 0.0), Placement(SERVICE, "", 1)

            def report_prefill_end(self, placement) -> None:
                """Ignore the report."""

            def release(self, placement) -> None:
                """Ignore the report."""

        async def scenario() -> None:
            await self.send_request("read")
            self.services.dispatcher.placement_source = Coordinator()
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual([1, 2], self.count_requests())
            self.assertEqual([["t0"]], [call.excluded for call in calls])

        self.run_relay([[make_refusal("9"), WHOLE], [WHOLE, WHOLE]], scenario)
