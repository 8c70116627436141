"""Streams go on only at the build of the targets that began them."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from laburnumpitch.errors import TargetError
from laburnumpitch.policy.build_history import MAX_RECORD_AGE_S
from laburnumpitch.relay.stream_origins import StreamOrigin

from .relay_case import (
    REQUEST_ID,
    SERVICE,
    TARGET_HEADERS,
    Crash,
    PacedAnswer,
    RelayCase,
)

FIRST_EVENT = b"id: 1\ndata: a\n\n"
SECOND_EVENT = b"id: 2\ndata: b\n\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + TARGET_HEADERS
OLD, NEW = "v1", "v2"
FULL = 100
"""More requests than any target takes."""

PAUSE_S = 1.1
"""A pause after which a stream looks for another target."""


def make_stream(*events: bytes) -> bytes:
    """Return a complete stream."""
    body = b"".join(events)
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def make_broken_stream(*events: bytes) -> Crash:
    """Return a stream that breaks off after some events, as its target ends."""
    return Crash(HEAD + b"Content-Length: 1000\r\n\r\n" + b"".join(events))


class OneAnswerTest(RelayCase):
    """A stream breaks off inside an answer, and another target could go on."""

    scenarios = [
        ("same_build", {"target_builds": {}, "goes_on": True}),
        ("other_build", {"target_builds": {1: NEW}, "goes_on": False}),
        ("third_has_it", {"target_builds": {1: NEW}, "more": True, "goes_on": True}),
    ]
    more = False
    builds_on_record = {OLD: True, NEW: True}

    def test_stream_joined_from_two_builds(self) -> None:
        """It goes on at a target of the build that began it, or not at all."""
        scripts = [[make_broken_stream(FIRST_EVENT)], [make_stream(SECOND_EVENT)]]
        if self.more:
            scripts.append([make_stream(SECOND_EVENT)])

        async def scenario() -> None:
            if not self.goes_on:
                await self.assert_breaks_off()
                self.assertEqual([1, 0], self.count_requests())
                return
            _, _, body = await self.send_request("resumed")
            self.assertEqual(FIRST_EVENT + SECOND_EVENT, body)
            self.assertEqual(1, self.count_requests()[-1])

        self.run_relay(scripts, scenario)

    async def assert_breaks_off(self) -> None:
        """Check that the answer ends before its end marker."""
        try:
            await self.send_request("resumed")
        except TargetError:
            return
        self.fail("the stream is complete")

    def test_before_the_first_event(self) -> None:
        """Any build will do for a stream of which nothing was delivered."""

        async def scenario() -> None:
            _, _, body = await self.send_request("resumed")
            self.assertEqual(FIRST_EVENT, body)

        self.run_relay([[make_broken_stream()], [make_stream(FIRST_EVENT)]], scenario)


class SilentTargetTest(RelayCase):
    """A stream's target is silent for a moment, and another one has capacity."""

    scenarios = [
        ("same_build", {"target_builds": {}, "counts": [1, 1]}),
        ("other_build", {"target_builds": {1: NEW}, "counts": [1, 0]}),
        (
            "third_target_has_it_and_is_full",
            {"target_builds": {1: NEW}, "counts": [1, 0, 0]},
        ),
    ]
    builds_on_record = {OLD: True, NEW: True}

    def test_stream_moved_to_another_build(self) -> None:
        """It leaves its target only for one of the same build."""
        first = HEAD + b"Content-Length: %d\r\n\r\n" % len(FIRST_EVENT + SECOND_EVENT)
        silent = PacedAnswer((first + FIRST_EVENT, SECOND_EVENT), PAUSE_S)

        async def scenario() -> None:
            self.services.statistics.get("t2").running = FULL
            _, _, body = await self.send_request("resumed", deadline_ms=6000)
            self.assertEqual(FIRST_EVENT + SECOND_EVENT, body)
            self.assertEqual(self.counts, self.count_requests())

        others = [[make_stream(SECOND_EVENT)] for _ in self.counts[1:]]
        self.run_relay([[silent], *others], scenario)


class TakeUpTest(RelayCase):
    """A client takes a stream up again, and targets of two builds serve."""

    scenarios = [
        ("recorded_old", {"origin": OLD, "status": 200, "counts": [1, 0]}),
        ("recorded_new", {"origin": NEW, "status": 200, "counts": [0, 1]}),
        ("recorded_left", {"origin": "v0", "status": 503, "counts": [0, 0]}),
        ("unknown", {"origin": None, "status": 503, "counts": [0, 0]}),
        (
            "unknown_one_build",
            {
                "origin": None,
                "builds_on_record": {OLD: True},
                "target_builds": {},
                "status": 200,
                "counts": [1, 0],
            },
        ),
        (
            "unknown_other_build_soon",
            {
                "origin": None,
                "builds_on_record": {OLD: True, NEW: False},
                "status": 503,
                "counts": [0, 0],
            },
        ),
        (
            "unknown_old_build_left",
            {
                "origin": None,
                "target_builds": {0: NEW, 1: NEW},
                "status": 503,
                "counts": [0, 0],
            },
        ),
        (
            "unknown_without_leader",
            {
                "origin": None,
                "builds_on_record": {OLD: True},
                "contact_age_s": MAX_RECORD_AGE_S,
                "status": 503,
                "counts": [0, 0],
            },
        ),
        (
            "unknown_no_record",
            {
                "origin": None,
                "builds_on_record": {},
                "status": 503,
                "counts": [0, 0],
            },
        ),
        (
            "unknown_route_may_have_moved",
            {
                "origin": None,
                "builds_on_record": {OLD: True},
                "other_services": {"other": {OLD: True}},
                "status": 503,
                "counts": [0, 0],
            },
        ),
        (
            "not_resumable_any_more",
            {"route": "stream", "origin": NEW, "status": 200, "counts": [0, 1]},
        ),
        (
            "other_service",
            {"origin": OLD, "service": "other", "status": 503, "counts": [0, 0]},
        ),
    ]
    builds_on_record = {OLD: True, NEW: True}
    target_builds = {1: NEW}
    service = SERVICE
    route = "resumed"
    other_services: dict[str, dict[str, bool]] = {}
    contact_age_s = 0.1

    def test_stream_taken_up_at_another_build(self) -> None:
        """It goes on at the build that began it; an unknown one is not guessed."""

        async def scenario() -> None:
            self.fleet_view.get_contact_age_s = lambda: self.contact_age_s
            self.fleet_view.builds.update(self.other_services)
            if self.origin is not None:
                origin = StreamOrigin(self.service, self.origin)
                self.stream_origins.store("a0", origin)
            status, headers, body = await self.send_request(
                self.route, resumes="a0", last_event_id="1"
            )
            self.assertEqual(self.status, status)
            self.assertEqual(self.counts, self.count_requests())
            if status == 200:
                self.assertEqual(SECOND_EVENT, body)
            else:
                self.assertIn("retry-after", headers)

        answer = make_stream(SECOND_EVENT)
        self.run_relay([[answer], [answer]], scenario)


class FirstAttemptTest(RelayCase):
    """What is remembered of a new stream."""

    builds_on_record = {OLD: True, NEW: False}
    target_builds = {0: NEW}

    def test_build_not_active_yet(self) -> None:
        """No stream begins on a build that some nodes may not know yet."""

        async def scenario() -> None:
            status, _, _ = await self.send_request("resumed")
            self.assertEqual(200, status)
            self.assertEqual([0, 1], self.count_requests())

        answer = make_stream(FIRST_EVENT)
        self.run_relay([[answer], [answer]], scenario)

    def test_other_routes(self) -> None:
        """What cannot be taken up again may begin on every build."""

        async def scenario() -> None:
            status, _, _ = await self.send_request("stream")
            self.assertEqual(200, status)
            self.assertEqual([1, 0], self.count_requests())
            self.assertEqual({}, dict(self.stream_origins.known))

        answer = make_stream(FIRST_EVENT)
        self.run_relay([[answer], [answer]], scenario)

    def test_origin_is_recorded(self) -> None:
        """It is known from the first event on, and not before."""

        async def scenario() -> None:
            await self.send_request("resumed")
            origin, _ = self.stream_origins.known[REQUEST_ID]
            self.assertEqual(StreamOrigin(SERVICE, OLD), origin)

        answer = make_stream(FIRST_EVENT)
        self.run_relay([[answer], [answer]], scenario)

    def test_target_restarted(self) -> None:
        """A target that has restarted, maybe with another build, begins no stream."""

        async def scenario() -> None:
            sending = asyncio.ensure_future(self.send_request("resumed"))
            while not self.count_requests()[1]:
                await asyncio.sleep(0)
            table = self.fleet_view.targets
            restarted = replace(table.entries["t1"].record, born_ms=2, build=NEW)
            table.put(restarted, 0.0)
            status, _, _ = await sending
            self.assertEqual(200, status)
            self.assertEqual([0, 1, 1], self.count_requests())

        answer = make_stream(FIRST_EVENT)
        slow = PacedAnswer((b"", answer), 0.2)
        self.run_relay([[answer], [slow], [answer]], scenario)


class LeaderAnswerTest(RelayCase):
    """A stream whose origin follows from the record, which is just too old."""

    def test_stream_is_not_refused(self) -> None:
        """The request waits for the leader's next answer."""

        async def scenario() -> None:
            ages_s = iter((MAX_RECORD_AGE_S, MAX_RECORD_AGE_S))
            self.fleet_view.get_contact_age_s = lambda: next(ages_s, 0.0)
            status, _, _ = await self.send_request(
                "resumed", resumes="a0", last_event_id="1"
            )
            self.assertEqual(200, status)

        self.run_relay([[make_stream(SECOND_EVENT)]], scenario)
