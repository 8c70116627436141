"""Arbitrary and damaged input raises the typed error of its decoder, and no other."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path

import msgspec
import testtools
from hypothesis import given, settings, strategies

from laburnumpitch.clock import HybridLogicalClock
from laburnumpitch.control.log_store import decode_record, encode_record
from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.fleet.messages import GrantContext, PlaceCall
from laburnumpitch.platform.announcements import decode_announcement
from laburnumpitch.platform.configuration import decode_configuration
from laburnumpitch.platform.http_headers import HeaderTranslator
from laburnumpitch.platform.settings_file import read_settings
from laburnumpitch.platform.target_client import (
    WireEvents,
    WireListing,
    WireReport,
    decode_answer,
)
from laburnumpitch.relay.event_stream import EventSplitter
from laburnumpitch.transport.codec import SCHEMA_VERSION, decode, encode
from laburnumpitch.transport.http_server import HttpRequest

EXAMPLES = 300
"""Inputs of each decoder and kind; the same ones in each run."""

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20),
    lambda children: strategies.lists(children, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), children, max_size=4),
    max_leaves=12,
)
SAMPLES = {
    "announcement": b'{"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready",'
    b'"slots":4,"sequence":1,"born":2,"cold_remaining_ms":3.5,"models":[],'
    b'"version":"v1"}',
    "configuration": b'{"version":7,"routes":[{"name":"r","host":"h","path_prefix":'
    b'"/a/","route_type":"idempotent","timeout_ms":4000,"service":"s"}],"services":'
    b'[{"name":"s"}],"limits":{},"tenants":[{"name":"t","api_keys":["k"]}]}',
    "report": b'{"sequence":2,"busy":false,"models":[{"name":"m","version":1}]}',
    "events": b'{"epoch":1,"next_token":2,"has_gap":false,'
    b'"events":[[1,"+","s","p",800,"m"]]}',
    "listing": b'{"epoch":1,"next_token":2,"held_entries":[["s","p",800,"m"]]}',
    "message": encode(GrantContext("a", "s", ["p"], [1], "dc")),
    "record": encode_record(encode(GrantContext("a", "s", ["p"], [1], "dc"))),
}
HEADER_NAMES = (
    "attempt-id",
    "authorization",
    "deadline-ms",
    "host",
    "last-event-id",
    "prefix-hash",
    "token-usage",
)


def read_record(data: bytes) -> None:
    """Read a record of a log or snapshot file, and the message in it."""
    body = decode_record(data, 0)
    if body is not None:
        decode(body)


DECODERS: dict[str, Callable[[bytes], object]] = {
    "announcement": lambda data: decode_announcement("t1", data),
    "configuration": decode_configuration,
    "report": lambda data: decode_answer(data, WireReport),
    "events": lambda data: decode_answer(data, WireEvents),
    "listing": lambda data: decode_answer(data, WireListing),
    "message": decode,
    "record": read_record,
}


class DecoderTest(testtools.TestCase):
    """Bytes from targets, operators, other nodes and files."""

    scenarios = [(name, {"name": name}) for name in DECODERS]

    def check(self, data: bytes) -> None:
        """Decode, and let only typed errors pass."""
        try:
            DECODERS[self.name](data)
        except LaburnumpitchError:
            pass

    def test_sample(self) -> None:
        """The sample that the damaged inputs are made of is valid."""
        DECODERS[self.name](SAMPLES[self.name])

    def test_arbitrary_bytes(self) -> None:
        """Bytes without any structure."""

        @settings(max_examples=EXAMPLES, derandomize=True, database=None)
        @given(strategies.binary(max_size=200))
        def run(data: bytes) -> None:
            self.check(data)

        run()

    def test_damaged_sample(self) -> None:
        """A valid input with some bytes replaced, removed or repeated."""
        sample = SAMPLES[self.name]

        @settings(max_examples=EXAMPLES, derandomize=True, database=None)
        @given(
            strategies.integers(0, len(sample)),
            strategies.integers(0, 12),
            strategies.binary(max_size=12),
        )
        def run(start: int, removed: int, inserted: bytes) -> None:
            self.check(sample[:start] + inserted + sample[start + removed :])

        run()

    def test_other_values(self) -> None:
        """Well-formed input whose values have other types."""
        encoder = msgspec.json if self.name != "message" else msgspec.msgpack

        @settings(max_examples=EXAMPLES, derandomize=True, database=None)
        @given(VALUES)
        def run(value) -> None:
            try:
                data = encoder.encode(value)
            except UnicodeEncodeError:
                return
            self.check(data)

        run()

    def test_deep_nesting(self) -> None:
        """Nesting that is deeper than a recursive parser's stack."""
        for opening in (b"[", b'{"a":', b"\x91"):
            self.check(opening * 100_000)


class MessageTest(testtools.TestCase):
    """Messages with a valid envelope."""

    def test_bodies_and_clocks(self) -> None:
        """Other values in a message's body, and any clock, do no harm."""

        @settings(max_examples=EXAMPLES, derandomize=True, database=None)
        @given(VALUES, strategies.integers(-(2**63), 2**64 - 1))
        def run(value, clock_stamp: int) -> None:
            envelope = (SCHEMA_VERSION, PlaceCall.__name__, clock_stamp, value)
            try:
                decode(msgspec.msgpack.encode(envelope))
            except LaburnumpitchError:
                pass
            decode(encode(GrantContext("a", "s", [], [], "dc")))

        run()

    def test_clock_from_the_far_future(self) -> None:
        """A process's clock does not follow another one that is far ahead."""
        clock = HybridLogicalClock()
        before = clock.tick()
        clock.observe(2**62)
        self.assertLess(clock.tick() - before, 2**50)


class RequestHeadTest(testtools.TestCase):
    """Headers of clients' requests."""

    def test_arbitrary_values(self) -> None:
        """Each value is read, or refused with a typed error."""
        translator = HeaderTranslator()
        values = strategies.text(max_size=40) | strategies.sampled_from(
            ["nan", "inf", "-1", "1e400", "9" * 5000, ":", ",", "a:1,b:-5", "0,0,0"]
        )

        @settings(max_examples=EXAMPLES, derandomize=True, database=None)
        @given(strategies.sampled_from(HEADER_NAMES), values)
        def run(name: str, value: str) -> None:
            request = HttpRequest("POST", "/", "", [(name, value)], b"")
            try:
                metadata = translator.read_request(request)
            except LaburnumpitchError:
                return
            timeout_s = metadata.client_timeout_s
            self.assertTrue(timeout_s is None or 0 <= timeout_s < float("inf"))
            self.assertGreaterEqual(metadata.prompt_tokens, 0)
            self.assertGreaterEqual(metadata.output_tokens, 0)
            self.assertGreaterEqual(metadata.shared_tokens, 0)

        run()


class StreamTest(testtools.TestCase):
    """Events of a stream, split at arbitrary places."""

    def test_nothing_is_lost(self) -> None:
        """What comes out, with what is pending, is what went in."""

        @settings(max_examples=EXAMPLES, derandomize=True, database=None)
        @given(strategies.lists(strategies.binary(max_size=30), max_size=20))
        def run(parts: list[bytes]) -> None:
            splitter = EventSplitter()
            passed = b"".join(splitter.feed(part) for part in parts)
            self.assertEqual(b"".join(parts), passed + splitter.pending)

        run()


class SettingsTest(testtools.TestCase):
    """The settings file."""

    def test_arbitrary_text(self) -> None:
        """A file that is no settings file raises the settings' error."""
        path = Path(tempfile.mkdtemp(prefix="laburnumpitch-fuzz-")) / "boot.toml"

        @settings(max_examples=EXAMPLES, derandomize=True, database=None)
        @given(strategies.binary(max_size=100))
        def run(data: bytes) -> None:
            path.write_bytes(data)
            try:
                read_settings(str(path))
            except LaburnumpitchError:
                pass

        run()
        path.unlink()
        path.parent.rmdir()
