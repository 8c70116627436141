"""Pieces of prompts that crash targets, as a node reports and refuses them."""

from __future__ import annotations

from dataclasses import replace

from laburnumpitch.fleet.crash_messages import (
    PiecesCompleted,
    RequestCompleted,
    TargetDied,
)
from laburnumpitch.transport.http_server import HttpRequest

from .relay_case import CONFIGURATION, Crash, RelayCase, make_answer
from .test_relay import BROKEN_STREAM, COMPLETE_STREAM, RESUMED_STREAM

PROMPT = "first:10,deadly:20,own:5"
SHARED_PIECES = ["first", "deadly"]


async def list_reported_pieces(case: RelayCase) -> list[list[str]]:
    """Return the pieces of each death that was reported."""
    await case.wait_notices()
    return [n.pieces for n in case.notices if isinstance(n, TargetDied)]


class DeathReportTest(RelayCase):
    """What a node reports when a connection to a target breaks."""

    scenarios = [
        ("unanswered", {"script": Crash(), "reported": [SHARED_PIECES]}),
        ("answer_begun", {"script": Crash(BROKEN_STREAM), "reported": [[]]}),
        ("connection_broken", {"script": BROKEN_STREAM, "reported": []}),
    ]

    def test_report(self) -> None:
        """A target that accepts no connection died; unanswered pieces may be why."""

        async def scenario() -> None:
            await self.send_request("resumed", prefix_hash=PROMPT)
            self.assertEqual(self.reported, await list_reported_pieces(self))

        rest = RESUMED_STREAM if self.script != Crash() else COMPLETE_STREAM
        self.run_relay([[self.script], [rest]], scenario)


class CompletedReportTest(RelayCase):
    """Answers that clear pieces."""

    def test_suspect_is_cleared(self) -> None:
        """A complete answer on a suspect piece is reported."""

        async def scenario() -> None:
            self.services.fleet_view.suspect_pieces = frozenset({"first", "other"})
            await self.send_request("resumed", prefix_hash=PROMPT)
            await self.wait_notices()
            self.assertEqual([PiecesCompleted(["first"])], self.notices)

        self.run_relay([[COMPLETE_STREAM]], scenario)

    def test_completed_piece_is_no_suspect(self) -> None:
        """A piece with a complete answer a moment before is not reported."""

        async def scenario() -> None:
            await self.send_request("resumed", prefix_hash="first:10,own:5")
            await self.send_request("resumed", prefix_hash=PROMPT)
            self.assertEqual([["deadly"]], await list_reported_pieces(self))

        scripts = [[COMPLETE_STREAM, Crash()], [COMPLETE_STREAM]]
        self.run_relay(scripts, scenario)


class AnsweredRequestTest(RelayCase):
    """A request whose copies are answered by other targets.

    Guards against an ordinary request that is refused for ten minutes, since three
    targets which crashed together had copies of it.
    """

    scenarios = [
        ("answered", {"first": [make_answer()], "has_cause": False}),
        ("never_answered", {"first": [], "has_cause": True}),
    ]

    def test_is_no_cause(self) -> None:
        """It is reported as the cause only if no target answered it lately."""

        async def scenario() -> None:
            for _ in [*self.first, Crash()]:
                await self.send_request("once")
            await self.wait_notices()
            (notice,) = (n for n in self.notices if isinstance(n, TargetDied))
            self.assertEqual(self.has_cause, bool(notice.fingerprint))

        self.run_relay([[*self.first, Crash()]], scenario)


class QuarantinedPieceTest(RelayCase):
    """Requests of one kind kept crashing targets, one after the other."""

    def test_new_request(self) -> None:
        """Another request with the piece is refused as not run; others are served."""

        async def scenario() -> None:
            self.services.fleet_view.quarantined_pieces = frozenset({"deadly"})
            status, _, body = await self.send_request("resumed", prefix_hash=PROMPT)
            self.assertEqual((503, b"quarantined"), (status, body))
            self.assertEqual([0], self.count_requests())
            status, *_ = await self.send_request("resumed", prefix_hash="first:10,b:5")
            self.assertEqual(200, status)

        self.run_relay([[COMPLETE_STREAM]], scenario)

    def test_last_piece(self) -> None:
        """The last piece belongs to one request and is never the cause."""

        async def scenario() -> None:
            self.services.fleet_view.quarantined_pieces = frozenset({"own"})
            status, *_ = await self.send_request("resumed", prefix_hash=PROMPT)
            self.assertEqual(200, status)

        self.run_relay([[COMPLETE_STREAM]], scenario)

    def test_suspect_is_not_repeated(self) -> None:
        """A suspect piece crashes one target for each request, not two."""

        async def scenario() -> None:
            self.services.fleet_view.suspect_pieces = frozenset(SHARED_PIECES)
            await self.send_request("read", prefix_hash="first:10,own:5")
            status, *_ = await self.send_request("read", prefix_hash=PROMPT)
            self.assertEqual(502, status)
            self.assertEqual([2, 0], self.count_requests())

        self.run_relay([[make_answer(), Crash()], [make_answer()]], scenario)

    def test_answer_to_a_suspect_request_is_reported(self) -> None:
        """The leader learns that a target has answered a request that is suspected."""

        async def scenario() -> None:
            fingerprint = self.make_fingerprint()
            self.services.fleet_view.suspect_requests = frozenset({fingerprint})
            await self.send_request("read")
            await self.wait_notices()
            self.assertEqual([RequestCompleted(fingerprint)], self.notices)

        self.run_relay([[make_answer()]], scenario)

    def make_fingerprint(self) -> str:
        """Return the fingerprint of the request that the tests send."""
        request = HttpRequest("POST", "/read/x", "q=1", [], b"body", 0.0)
        admitted = replace(
            self.make_admitted("read", 0),
            request=request,
            organisation=CONFIGURATION.organisations[0],
        )
        return admitted.fingerprint

    def test_neighbour_is_repeated(self) -> None:
        """A suspect piece that was answered here a moment before is no reason."""

        async def scenario() -> None:
            self.services.fleet_view.suspect_pieces = frozenset({"first"})
            await self.send_request("read", prefix_hash="first:10,own:5")
            status, *_ = await self.send_request("read", prefix_hash="first:10,own:6")
            self.assertEqual(200, status)
            self.assertEqual([2, 1], self.count_requests())

        self.run_relay([[make_answer(), Crash()], [make_answer()]], scenario)

    def test_repeat(self) -> None:
        """A request that may have run is not sent again, and not called not run."""

        async def scenario() -> None:
            statistics = self.services.statistics
            record_failure = statistics.record_failure

            def quarantine(*args) -> None:
                record_failure(*args)
                self.services.fleet_view.quarantined_pieces = frozenset({"deadly"})

            statistics.record_failure = quarantine
            status, *_ = await self.send_request("read", prefix_hash=PROMPT)
            self.assertEqual(502, status)
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[Crash()], [make_answer()]], scenario)
