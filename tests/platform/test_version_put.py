"""Calls that name a weight version."""

from __future__ import annotations

import msgspec
import testtools

from laburnumpitch.errors import MalformedRequestError
from laburnumpitch.fleet.messages import PutWeights
from laburnumpitch.platform.control_api import decode_version_put
from laburnumpitch.platform.wire_values import MAX_INTEGER, MAX_NESTING, MAX_TEXT_CHARS
from laburnumpitch.transport.codec import decode, encode


def make_body(model: object = "m", version: object = 2, **fields: object) -> bytes:
    """Return a call."""
    return msgspec.json.encode({"model": model, "version": version, **fields})


def make_nested(depth: int) -> bytes:
    """Return a call whose nesting has a depth, in an unknown field."""
    return make_body(extra=msgspec.Raw(b"[" * (depth - 1) + b"]" * (depth - 1)))


class SoundTest(testtools.TestCase):
    """Values at their bounds."""

    scenarios = [
        ("highest_version", {"body": make_body(version=MAX_INTEGER)}),
        ("first_version", {"body": make_body(version=0)}),
        ("longest_model", {"body": make_body(model="m" * MAX_TEXT_CHARS)}),
        ("deepest_nesting", {"body": make_nested(MAX_NESTING)}),
    ]

    def test_accepted_and_sent_on(self) -> None:
        """Each is decoded, and can be sent to the leader."""
        call = decode_version_put(self.body)
        self.assertIsInstance(call, PutWeights)
        self.assertEqual(call, decode(encode(call)))


class OddTest(testtools.TestCase):
    """Versions that the replicated log cannot hold, and other odd values."""

    scenarios = [
        ("version_of_64_bits", {"body": make_body(version=2**63)}),
        ("version_of_70_bits", {"body": make_body(version=msgspec.Raw(b"9" * 22))}),
        ("version_of_400_digits", {"body": make_body(version=msgspec.Raw(b"9" * 400))}),
        ("negative_version", {"body": make_body(version=-1)}),
        ("version_is_a_fraction", {"body": make_body(version=1.5)}),
        ("version_is_text", {"body": make_body(version="2")}),
        ("model_without_a_name", {"body": make_body(model="")}),
        ("long_model", {"body": make_body(model="m" * (MAX_TEXT_CHARS + 1))}),
        ("model_with_a_line_break", {"body": make_body(model="m\n")}),
        ("nested_too_deeply", {"body": make_nested(MAX_NESTING + 1)}),
        ("nested_hundreds_deep", {"body": make_nested(500)}),
        ("nested_beyond_the_stack", {"body": make_nested(100_000)}),
    ]

    def test_refused(self) -> None:
        """Each is refused with the typed error."""
        self.assertRaises(MalformedRequestError, decode_version_put, self.body)
