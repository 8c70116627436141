"""Arbitrary and damaged input raises the typed error of its decoder, and no other."""

from __future__ import annotations

import re
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import testtools
from hypothesis import given, settings, strategies

from laburnumpitch.clock import HybridLogicalClock
from laburnumpitch.control.log_store import decode_record, encode_record
from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.fleet.evacuation_messages import ReadEvacuation
from laburnumpitch.fleet.explain_messages import ExplainPlace
from laburnumpitch.fleet.messages import (
    GrantContext,
    PlaceCall,
    StoreConfiguration,
    TargetRecord,
)
from laburnumpitch.platform.announcements import decode_announcement
from laburnumpitch.platform.configuration import decode_configuration
from laburnumpitch.platform.control_api import decode_version_put
from laburnumpitch.platform.evacuation_calls import decode_name
from laburnumpitch.platform.explain_api import decode_question
from laburnumpitch.platform.http_headers import HeaderTranslator
from laburnumpitch.platform.settings_file import read_settings
from laburnumpitch.platform.target_client import (
    WireEvents,
    WireListing,
    WireReport,
    decode_answer,
)
from laburnumpitch.relay.event_stream import EventSplitter
from laburnumpitch.relay.explanation import ExplainedRequest
from laburnumpitch.transport.codec import SCHEMA_VERSION, decode, encode
from laburnumpitch.transport.http_server import HttpRequest

EXAMPLES = 300
"""Inputs of each decoder and kind; the same ones in each run."""

NUMBER_PATTERN = re.compile(rb"[0-9]+")
ODD_NUMBERS = [
    *(b"%d" % number for number in (-1, 0, 65536, 2**31, 2**53, 2**63 - 1, 2**63)),
    *(b"%d" % number for number in (2**64 - 1, 2**64, 2**70, -(2**63), -(2**70))),
    *(b"9" * digits for digits in (400, 5000)),
    *(b"0.5", b"-0", b"1e305", b"-1e305", b"1e400", b"1e-400", b"NaN", b"Infinity"),
    *(b"null", b"true", b'"1"', b"[]"),
]
"""What takes the place of a number in a sample; numbers in texts among them."""

NESTING_DEPTHS = (30, 100, 400, 900, 990, 1100, 5000)
"""Depths around the decoder's own limits at different stacks of the caller."""

STACK_FRAMES = (0, 300, 600)
"""Calls below which deeply nested input is decoded."""

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
    b'[{"name":"s"}],"limits":{},"tenants":[{"name":"t","api_keys":["k"],'
    b'"allowed_regions":["a"]}]}',
    "version_put": b'{"model":"m","version":2}',
    "question": b'{"host":"h","path":"/a/","api_key":"k","pieces":"p:800,own:5",'
    b'"prompt_tokens":805,"output_tokens":5,"deadline_ms":900}',
    "evacuation": b"z%C3%A9",
    "report": b'{"sequence":2,"busy":false,"models":[{"name":"m","version":1}]}',
    "events": b'{"epoch":1,"next_token":2,"has_gap":false,'
    b'"events":[[1,"+","s","p",800,"m"]],"clock_ms":5}',
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


def send_report_on(report: WireReport) -> None:
    """Send on what the leader takes from a report."""
    versions = {model.name: model.version for model in report.models}
    encode(TargetRecord("t", "s", "a", "dc", 1, 1, 1, versions=versions))


def use_events(events: WireEvents) -> None:
    """Calculate with events as a store's owner does."""
    float(events.clock_ms or 0) + sum(event[4] for event in events.events) * 1.5


def ask_coordinator(asked: ExplainedRequest) -> None:
    """Send on what a coordinator is asked about an explained request."""
    metadata = asked.metadata
    tokens = (metadata.prompt_tokens, metadata.shared_tokens, metadata.output_tokens)
    key = metadata.affinity_key
    call = PlaceCall("s", key, metadata.model, *tokens, 1.0, 1.0, "dc", [], [])
    encode(ExplainPlace(call))


USES: dict[str, Callable[[Any], object]] = {
    "announcement": encode,
    "configuration": lambda item: encode(StoreConfiguration(item.version, b"")),
    "version_put": encode,
    "question": ask_coordinator,
    "evacuation": lambda name: encode(ReadEvacuation(name)),
    "report": send_report_on,
    "events": use_events,
}
"""What is done with decoded input at once; it raises no error at all."""

DECODERS: dict[str, Callable[[bytes], object]] = {
    "announcement": lambda data: decode_announcement("t1", data),
    "configuration": decode_configuration,
    "version_put": decode_version_put,
    "question": decode_question,
    "evacuation": lambda data: decode_name(data.decode("latin-1")),
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
        """Decode and use the result; let only the decoder's typed errors pass."""
        try:
            decoded = DECODERS[self.name](data)
        except LaburnumpitchError:
            return
        if self.name in USES:
            USES[self.name](decoded)

    def check_below(self, frames: int, data: bytes) -> None:
        """Decode below a number of other calls."""
        if frames:
            self.check_below(frames - 1, data)
        else:
            self.check(data)

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

    def test_nesting_in_an_unknown_field(self) -> None:
        """Nesting that is complete, at different stacks of the caller."""
        sample = SAMPLES[self.name]
        for depth in NESTING_DEPTHS:
            for opening, closing in ((b"[", b"]"), (b'{"a":', b"}")):
                nested = opening * depth + b"1" + closing * depth
                data = sample[:-1] + b',"extra":' + nested + b"}"
                for frames in STACK_FRAMES:
                    self.check_below(frames, data)

    def test_odd_numbers(self) -> None:
        """A valid input in which one number is odd."""
        sample = SAMPLES[self.name]
        for match in NUMBER_PATTERN.finditer(sample):
            for number in ODD_NUMBERS:
                self.check(sample[: match.start()] + number + sample[match.end() :])


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
            [
                *("nan", "inf", "-1", "1e400", "9" * 400, "9" * 5000, ":", ","),
                *("a:1,b:-5", "0,0,0", f"{2**64},1", f"a:{2**70}"),
            ]
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
            tokens = (metadata.prompt_tokens, metadata.shared_tokens)
            encode(PlaceCall("s", "", "m", *tokens, 1, 1.0, 1.0, "dc", [], []))

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
