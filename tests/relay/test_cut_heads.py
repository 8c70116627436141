"""Targets that end inside, or right behind, the head of an answer."""

from __future__ import annotations

import itertools

from laburnumpitch.errors import TargetError

from .relay_case import TARGET_HEADERS, CutAnswer, RelayCase, Script, make_answer

EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FRAMINGS = {
    "length": b"Content-Length: 5\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "no_length": b"",
}
STREAM = make_answer(body=b"id: 1\ndata: x\n\n")


class CutHeadCase(RelayCase):
    """Sends requests to a target that cuts its answers."""

    async def send_until_refused(self, route: str) -> int:
        """Send a request and return the status; 0 if the answer broke off."""
        try:
            status, _, _ = await self.send_request(route)
        except TargetError:
            return 0
        return status


class CutHeadTest(CutHeadCase):
    """The head ends after each of its bytes, by a close or a reset."""

    scenarios = [
        (
            f"{framing}_{route}_{'reset' if is_reset else 'close'}_{before}",
            {
                "framing": FRAMINGS[framing],
                "route": route,
                "is_reset": is_reset,
                "before": {"first": b"", "hints": EARLY_HINTS}[before],
            },
        )
        for framing, route, is_reset, before in itertools.product(
            FRAMINGS, ("once", "stream"), (False, True), ("first", "hints")
        )
    ]

    def test_no_success(self) -> None:
        """Guards against an answer of which clients receive a head that was cut."""
        head = self.before + STATUS_LINE + TARGET_HEADERS + self.framing + b"\r\n"
        cuts = range(len(head))

        async def scenario() -> None:
            statuses = {}
            for cut in cuts:
                # One failure must not keep the next request from the target.
                self.services.statistics.get("t0").backoff_until_s = 0.0
                statuses[cut] = await self.send_until_refused(self.route)
            successes = [cut for cut, status in statuses.items() if status // 100 == 2]
            self.assertEqual([], successes)
            self.assertGreater(len(self.targets[0].requests), len(cuts) // 2)

        scripts: list[Script] = [CutAnswer(head[:cut], self.is_reset) for cut in cuts]
        self.run_relay([scripts], scenario)


class BareHeadTest(CutHeadCase):
    """A stream's head without a length or chunks, and no event behind it."""

    scenarios = [
        ("close", {"is_reset": False, "route": "stream", "status": 502}),
        ("reset", {"is_reset": True, "route": "stream", "status": 502}),
        ("close_resumable", {"is_reset": False, "route": "resumed", "status": 200}),
        ("reset_resumable", {"is_reset": True, "route": "resumed", "status": 200}),
    ]

    def test_empty_stream_is_not_complete(self) -> None:
        """Guards against an empty stream that clients take for a whole one."""

        async def scenario() -> None:
            status, _, body = await self.send_request(self.route)
            self.assertEqual(self.status, status)
            self.assertEqual(self.status == 200, b"data: x" in body)

        head = STATUS_LINE + TARGET_HEADERS + b"\r\n"
        self.run_relay([[CutAnswer(head, self.is_reset)], [STREAM]], scenario)
