"""Which kinds of requests run again after the answer of a target was lost."""

from __future__ import annotations

import asyncio

from laburnumpitch.relay.configuration import IDEMPOTENT, NON_IDEMPOTENT, STREAMING

from .relay_case import HeldClose, RelayCase, make_answer, make_route

ROUTE = "r"
STREAM = make_answer(body=b"id: 1\ndata: x\n\n")


class LostAnswerTest(RelayCase):
    """A target takes a request and closes the connection without an answer."""

    scenarios = [
        ("idempotent", {"kind": IDEMPOTENT, "resumable": False, "runs": 2}),
        ("idempotent_resumable", {"kind": IDEMPOTENT, "resumable": True, "runs": 2}),
        ("once", {"kind": NON_IDEMPOTENT, "resumable": False, "runs": 1}),
        ("once_resumable", {"kind": NON_IDEMPOTENT, "resumable": True, "runs": 1}),
        ("stream", {"kind": STREAMING, "resumable": False, "runs": 1}),
        ("stream_resumable", {"kind": STREAMING, "resumable": True, "runs": 2}),
    ]

    def put_route(self, kind: str) -> None:
        """Put a configuration in force whose only route has a kind."""
        route = make_route(ROUTE, kind, allows_resumption=self.resumable)
        self.change_configuration(version=2, routes=(route,))

    def test_runs(self) -> None:
        """Guards against a second run that only a stream's route may allow.

        `resumable` on a non-idempotent route allowed it.
        """

        async def scenario() -> None:
            self.put_route(self.kind)
            status, _, _ = await self.send_request(ROUTE)
            self.assertEqual(self.runs, sum(self.count_requests()))
            self.assertEqual(200 if self.runs > 1 else 502, status)

        self.run_relay([[b""], [STREAM]], scenario)


class ChangedKindTest(RelayCase):
    """The kind of a route changes while its request runs."""

    scenarios = [
        ("its_route", {"routes": (make_route("read", NON_IDEMPOTENT),), "runs": 1}),
        (
            "a_longer_prefix",
            {
                "routes": (
                    make_route("read", IDEMPOTENT),
                    make_route("longer", NON_IDEMPOTENT, prefix="/read/x"),
                ),
                "runs": 1,
            },
        ),
        ("no_route", {"routes": (), "runs": 2}),
    ]

    def test_runs(self) -> None:
        """A request runs again only if that is still allowed when it would."""

        async def scenario() -> None:
            call = asyncio.create_task(self.send_request("read"))
            while not sum(self.count_requests()):
                await asyncio.sleep(0.01)
            self.change_configuration(version=2, routes=self.routes)
            self.targets[0].release.set()
            await call
            self.assertEqual(self.runs, sum(self.count_requests()))

        self.run_relay([[HeldClose()], [make_answer()]], scenario)


class SpentBudgetTest(RelayCase):
    """The budget of retries is spent when a target fails."""

    scenarios = [
        ("error", {"answer": make_answer(500), "status": 500}),
        ("lost", {"answer": b"", "status": 502}),
    ]

    def test_no_retry(self) -> None:
        """Guards against a retry that the budget does not allow.

        An error answer that was kept for the client led to one.
        """

        async def scenario() -> None:
            self.services.retry_limiter.try_spend = lambda service: False
            status, _, _ = await self.send_request("read")
            self.assertEqual(self.status, status)
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[self.answer], [make_answer()]], scenario)
