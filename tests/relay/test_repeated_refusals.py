"""Refusals that a faulty target writes once more, on a connection that is kept."""

from __future__ import annotations

import asyncio

import testscenarios
from msgspec.structs import replace as replace_record

from .relay_case import PacedAnswer, RelayCase, RepeatedAnswer, make_answer

EVENTS = b"id: 1\ndata: a\n\n"
"""A body that is whole on every route."""

BACKOFF_S = 0.1
"""A pause after which a target that rejected a request is preferred again."""

ROUTES = [
    ("non_idempotent", {"route": "once", "may_repeat": False}),
    ("idempotent", {"route": "read", "may_repeat": True}),
    ("stream", {"route": "stream", "may_repeat": False}),
    ("resumable_stream", {"route": "resumed", "may_repeat": True}),
]
STATUSES = [(str(status), {"status": status}) for status in (503, 429, 421, 400)]


def make_refusal(status: int, request_id: str) -> bytes:
    """Return a refusal of one attempt; of none if the identifier is empty."""
    return make_answer(
        status, b"full", request_id=request_id, seal="", extra="Not-Executed: 1"
    )


class RepeatedRefusalCase(RelayCase):
    """Two requests to a target, and a second target."""

    async def send_first(self) -> None:
        """Send a stream's request, after which the connection to its target is kept."""
        status, *_ = await self.send_request("stream", request_id="first")
        self.assertEqual(200, status)
        await asyncio.sleep(BACKOFF_S)

    async def send_second(self) -> tuple[int, bytes]:
        """Send the second request and return its status and body."""
        status, headers, body = await self.send_request(self.route, request_id="second")
        self.assertEqual("second", headers["attempt-id"])
        return status, body


class LateRefusalTest(RepeatedRefusalCase):
    """A refusal comes as the answer to the second request on a connection."""

    scenarios = testscenarios.multiply_scenarios(
        ROUTES,
        STATUSES,
        [
            ("named", {"copy_id": "first", "has_own_answer": False}),
            ("unnamed", {"copy_id": "", "has_own_answer": False}),
            ("before_the_answer", {"copy_id": "first", "has_own_answer": True}),
        ],
    )

    def test_not_believed(self) -> None:
        """The second request counts as run: it is repeated only if it may be."""

        async def scenario() -> None:
            await self.send_first()
            status, body = await self.send_second()
            if self.may_repeat:
                self.assertEqual((200, EVENTS), (status, body))
                self.assertEqual([2, 1], self.count_requests())
            else:
                self.assertEqual(502, status)
                self.assertEqual([2, 0], self.count_requests())
            self.assertEqual(1, self.targets[0].connections)
            await self.targets[0].closed.wait()

        first = make_answer(body=EVENTS, request_id="first")
        late = make_refusal(self.status, self.copy_id)
        if self.has_own_answer:
            late += make_answer(body=EVENTS, request_id="second")
        second = make_answer(body=EVENTS, request_id="second")
        self.run_relay([[first, late], [second]], scenario)


class OnlyTargetTest(RepeatedRefusalCase):
    """The refusal of the first request comes again, and there is no other target."""

    scenarios = testscenarios.multiply_scenarios(ROUTES, STATUSES)

    def test_promises_nothing(self) -> None:
        """The client isn't told that its second request has not run."""

        async def scenario() -> None:
            status, *_ = await self.send_request(self.route, request_id="first")
            self.assertEqual(503, status)
            await asyncio.sleep(BACKOFF_S)
            status, _ = await self.send_second()
            self.assertEqual(502, status)

        refusal = make_refusal(self.status, "first")
        self.run_relay([[refusal, refusal]], scenario)


class EarlyCopyTest(RepeatedRefusalCase):
    """A refusal that comes after a whole answer, before the next request."""

    scenarios = testscenarios.multiply_scenarios(
        ROUTES,
        STATUSES,
        [
            ("at_once", {"pause_s": 0.0}),
            ("later", {"pause_s": BACKOFF_S / 2}),
        ],
    )

    def test_answers_nothing(self) -> None:
        """The second request gets its own answer, on another connection."""

        async def scenario() -> None:
            await self.send_first()
            self.assertEqual((200, EVENTS), await self.send_second())
            self.assertEqual([2, 0], self.count_requests())

        parts = (
            make_answer(body=EVENTS, request_id="first"),
            make_refusal(self.status, "first"),
        )
        first = PacedAnswer(parts, self.pause_s) if self.pause_s else b"".join(parts)
        second = make_answer(body=EVENTS, request_id="second")
        self.run_relay([[first, second], []], scenario)


class OwnRefusalTest(RepeatedRefusalCase):
    """Refusals that are of the request."""

    scenarios = testscenarios.multiply_scenarios(
        ROUTES,
        STATUSES,
        [
            ("named_on_a_new_connection", {"is_kept": False, "copy_id": "second"}),
            ("unnamed_on_a_new_connection", {"is_kept": False, "copy_id": ""}),
            ("named_on_a_kept_connection", {"is_kept": True, "copy_id": "second"}),
        ],
    )

    def test_next_target_answers(self) -> None:
        """The request has not run, so another target may answer any request."""

        async def scenario() -> None:
            if self.is_kept:
                await self.send_first()
            self.assertEqual((200, EVENTS), await self.send_second())
            self.assertEqual([1 + self.is_kept, 1], self.count_requests())
            self.assertEqual(1, self.targets[0].connections)

        first = make_answer(body=EVENTS, request_id="first")
        refusal = make_refusal(self.status, self.copy_id)
        scripts = [first, refusal] if self.is_kept else [refusal]
        second = make_answer(body=EVENTS, request_id="second")
        self.run_relay([scripts, [second]], scenario)


class SharedAddressTest(RepeatedRefusalCase):
    """Two targets at one address; the refusal of the first one comes again."""

    scenarios = testscenarios.multiply_scenarios(
        ROUTES[:2],
        STATUSES[:3],
        [("new_connection", {"is_kept": False}), ("kept", {"is_kept": True})],
    )

    def test_not_believed(self) -> None:
        """The second target gets the request on a connection without a refusal."""

        async def scenario() -> None:
            table = self.fleet_view.targets
            first = next(r for r in table.get_records() if r.target_id == "t0")
            table.put(replace_record(first, target_id="t1"), 0.0)
            self.services.dispatcher.on_fleet_change()
            if self.is_kept:
                await self.send_first()
            self.assertEqual((200, EVENTS), await self.send_second())
            self.assertEqual([2 + self.is_kept, 0], self.count_requests())
            self.assertEqual(2, self.targets[0].connections)

        scripts = [make_answer(body=EVENTS, request_id="first")] if self.is_kept else []
        refusal = RepeatedAnswer(make_refusal(self.status, "second"))
        second = make_answer(body=EVENTS, request_id="second")
        self.run_relay([[*scripts, refusal, second], []], scenario)
