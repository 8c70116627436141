"""What clients receive of a stream that broke off and could not go on."""

from __future__ import annotations

import asyncio
import itertools
from types import SimpleNamespace

from .relay_case import API_KEY, HOST, REQUEST_ID, RelayCase, Script, make_answer

STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s1\r\n"
    "Content-Type: text/event-stream\r\n"
).encode()
EVENT = b"id: 1\ndata: first\n\n"

BROKEN_STREAM = STREAM_HEAD + b"Content-Length: 1000\r\n\r\n" + EVENT
"""A stream that ends after its first event."""

OTHER_TEXT = b"text of another answer"

NEXT_ANSWERS: dict[str, Script] = {
    "error": make_answer(500, OTHER_TEXT),
    "not_found": make_answer(404, OTHER_TEXT),
    "moved": make_answer(302, OTHER_TEXT, extra="Location: /text"),
    "not_run": make_answer(503, OTHER_TEXT, extra="Not-Executed: 1"),
    "unconfirmed": make_answer(503, OTHER_TEXT),
    "wrong_instance": make_answer(421, OTHER_TEXT, extra="Not-Executed: 1"),
    "without_seal": make_answer(200, OTHER_TEXT, seal=""),
    "of_another_attempt": make_answer(200, OTHER_TEXT, request_id="other"),
    "cut_head": b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Se",
    "no_http": OTHER_TEXT,
    "nothing": b"",
}


class RawStream:
    """What a client received: the bytes, and whether the connection was reset."""

    def __init__(self, data: bytes, is_reset: bool) -> None:
        self.data = data
        self.is_reset = is_reset
        self.head, _, self.body = data.partition(b"\r\n\r\n")


class StreamCase(RelayCase):
    """Reads streams without an HTTP library."""

    async def start(self, scripts: list[list[Script]]) -> None:
        """Start targets and a relay whose unexpected errors are recorded."""
        await super().start(scripts)
        self.failures: list[str] = []
        self.services.log = SimpleNamespace(
            exception=lambda event, **_: self.failures.append(event),
            info=lambda event, **_: None,
            debug=lambda event, **_: None,
        )

    async def read_stream(self, http_version: str) -> RawStream:
        """Request a stream and return what arrives until the connection ends."""
        reader, writer = await asyncio.open_connection(HOST, self.server.port)
        lines = [
            f"POST /resumed/x HTTP/{http_version}",
            f"Host: {HOST}",
            f"Attempt-Id: {REQUEST_ID}",
            f"Authorization: Bearer {API_KEY}",
            "Deadline-Ms: 1500",
            "Connection: close",
            "Content-Length: 0",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        received = b""
        try:
            while data := await reader.read(65536):
                received += data
        except ConnectionResetError:
            return RawStream(received, True)
        finally:
            writer.close()
        return RawStream(received, False)


class BrokenStreamTest(StreamCase):
    """A stream has begun and breaks off; the next target gives no stream."""

    scenarios = [
        (f"{name}_{version}", {"answer": answer, "http_version": version})
        for (name, answer), version in itertools.product(
            NEXT_ANSWERS.items(), ("1.0", "1.1")
        )
    ]

    def test_stream_is_visibly_broken(self) -> None:
        """Guards against text of an error answer, or a proper end, in a stream."""

        async def scenario() -> None:
            stream = await self.read_stream(self.http_version)
            self.assertEqual(1, stream.data.count(b"HTTP/1."), stream.data)
            self.assertNotIn(OTHER_TEXT, stream.data)
            self.assertNotIn(b"failed", stream.body)
            self.assertEqual([], self.failures)
            if self.http_version == "1.0":
                self.assertTrue(stream.is_reset, stream.data)
            else:
                self.assertIn(EVENT, stream.body)
                self.assertFalse(stream.body.endswith(b"0\r\n\r\n"), stream.data)

        self.run_relay([[BROKEN_STREAM], [self.answer], [self.answer]], scenario)


class ErrorBeforeStreamTest(StreamCase):
    """A target answers with an error, the next one begins a stream and breaks off."""

    scenarios = [(version, {"http_version": version}) for version in ("1.0", "1.1")]

    def test_error_is_not_delivered(self) -> None:
        """The error that was kept is no answer any more once a stream has begun."""

        async def scenario() -> None:
            stream = await self.read_stream(self.http_version)
            self.assertEqual(1, stream.data.count(b"HTTP/1."), stream.data)
            self.assertNotIn(OTHER_TEXT, stream.data)
            self.assertEqual(self.http_version == "1.0", stream.is_reset)
            self.assertFalse(stream.body.endswith(b"0\r\n\r\n"), stream.data)
            self.assertEqual([], self.failures)

        self.run_relay([[make_answer(500, OTHER_TEXT)], [BROKEN_STREAM]], scenario)


class WholeStreamTest(StreamCase):
    """A stream has begun and breaks off; the next target goes on with it."""

    scenarios = [(version, {"http_version": version}) for version in ("1.0", "1.1")]

    def test_stream_is_whole(self) -> None:
        """The stream ends in order, with each event once."""

        async def scenario() -> None:
            stream = await self.read_stream(self.http_version)
            self.assertFalse(stream.is_reset)
            self.assertEqual(1, stream.body.count(b"data: first"))
            self.assertEqual(1, stream.body.count(b"data: last"))
            if self.http_version == "1.1":
                self.assertTrue(stream.body.endswith(b"0\r\n\r\n"), stream.data)

        rest = make_answer(200, b"id: 2\ndata: last\n\n")
        self.run_relay([[BROKEN_STREAM], [rest]], scenario)
