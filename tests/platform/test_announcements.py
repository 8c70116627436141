"""Announcements of targets: sound ones are decoded, odd ones are refused."""

from __future__ import annotations

import msgspec
import testtools

from laburnumpitch.errors import MalformedRequestError
from laburnumpitch.platform.announcements import (
    MAX_ANNOUNCEMENT_BYTES,
    MAX_BORN_AHEAD_MS,
    MAX_MODELS,
    MAX_SLOTS,
    decode_announcement,
)
from laburnumpitch.platform.wire_values import (
    MAX_DURATION_MS,
    MAX_INTEGER,
    MAX_NESTING,
    MAX_TEXT_CHARS,
    is_too_deep,
)
from laburnumpitch.transport.codec import decode, encode

NOW_MS = 1_700_000_000_000
"""Wall time of the decoding node, in milliseconds."""

HOUR_MS = 3_600_000
SOUND = {
    "service": "shop",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "state": "ready",
    "slots": 4,
    "sequence": 7,
    "born": NOW_MS,
    "cold_remaining_ms": 250,
    "models": [{"name": "m", "version": 1}],
}


def make_body(**changes: object) -> bytes:
    """Return a sound announcement with changed fields."""
    return msgspec.json.encode({**SOUND, **changes})


def make_raw(field: str, value: bytes) -> bytes:
    """Return a sound announcement with one field's value as raw JSON."""
    return msgspec.json.encode({**SOUND, field: msgspec.Raw(value)})


def make_nested(depth: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    """Return a sound announcement whose nesting has a depth, in an unknown field."""
    return make_raw("extra", opening * (depth - 1) + b"1" + closing * (depth - 1))


def decode_now(body: bytes, target_id: str = "t1"):
    """Decode an announcement at a fixed wall time."""
    return decode_announcement(target_id, body, lambda: NOW_MS / 1000)


class SoundTest(testtools.TestCase):
    """Values at the bounds, and fields that are not known here."""

    scenarios = [
        ("plain", {"body": make_body()}),
        ("highest_port", {"body": make_body(address="1.2.3.4:65535")}),
        ("lowest_port", {"body": make_body(address="1.2.3.4:1")}),
        ("most_slots", {"body": make_body(slots=MAX_SLOTS)}),
        ("highest_sequence", {"body": make_body(sequence=MAX_INTEGER)}),
        ("first_sequence", {"body": make_body(sequence=0)}),
        (
            "clock_of_the_target_an_hour_ahead",
            {"body": make_body(born=NOW_MS + HOUR_MS)},
        ),
        ("latest_start", {"body": make_body(born=NOW_MS + MAX_BORN_AHEAD_MS)}),
        ("earliest_start", {"body": make_body(born=0)}),
        ("longest_cold_time", {"body": make_body(cold_remaining_ms=MAX_DURATION_MS)}),
        ("cold_time_is_over", {"body": make_body(cold_remaining_ms=-0.5)}),
        (
            "highest_version",
            {"body": make_body(models=[{"name": "m", "version": MAX_INTEGER}])},
        ),
        (
            "most_models",
            {
                "body": make_body(
                    models=[{"name": f"m{n}", "version": 1} for n in range(MAX_MODELS)]
                )
            },
        ),
        ("longest_text", {"body": make_body(service="s" * MAX_TEXT_CHARS)}),
        ("deepest_nesting", {"body": make_nested(MAX_NESTING)}),
        (
            "brackets_in_a_text",
            {"body": make_body(extra="[{" * 5000 + '"\\' + "[" * 5000)},
        ),
        ("unknown_field", {"body": make_body(extra=[10**30, 1e300, None])}),
    ]

    def test_accepted_and_sent_on(self) -> None:
        """Each is decoded, and its record can be sent to other nodes."""
        record = decode_now(self.body)
        self.assertEqual(record, decode(encode(record)))
        self.assertGreaterEqual(record.cold_s, 0.0)


class ColdTimeTest(testtools.TestCase):
    """Announcements with and without a cold time."""

    scenarios = [
        ("stated", {"value": b"250", "expected": (True, 0.25)}),
        ("over", {"value": b"-0.5", "expected": (True, 0.0)}),
        ("missing", {"value": None, "expected": (False, 0.0)}),
    ]

    def test_cold_time(self) -> None:
        """A target that does not state it was taken for one that says it is warm."""
        fields = {**SOUND, "cold_remaining_ms": msgspec.Raw(self.value or b"0")}
        if self.value is None:
            del fields["cold_remaining_ms"]
        record = decode_now(msgspec.json.encode(fields))
        self.assertEqual(self.expected, (record.states_cold, record.cold_s))


class OddTest(testtools.TestCase):
    """Entries of another writer, one odd value in each."""

    scenarios = [
        (name, {"body": body})
        for name, body in [
            ("port_zero", make_body(address="1.2.3.4:0")),
            ("port_above_range", make_body(address="1.2.3.4:65536")),
            ("port_far_above_range", make_body(address="1.2.3.4:99999")),
            ("port_of_thousands_of_digits", make_body(address="1.2.3.4:" + "9" * 5000)),
            ("port_in_other_digits", make_body(address="1.2.3.4:٥٠")),
            ("port_with_a_sign", make_body(address="1.2.3.4:+80")),
            ("no_port", make_body(address="1.2.3.4:")),
            ("no_host", make_body(address=":80")),
            ("host_with_a_space", make_body(address="1.2.3 .4:80")),
            ("host_with_a_null", make_body(address="1.2.3.4\0:80")),
            ("host_with_an_empty_label", make_body(address="a..b:80")),
            ("host_out_of_range", make_body(address="1.2.3.400:80")),
            ("address_is_a_number", make_body(address=80)),
            ("sequence_of_64_bits", make_body(sequence=2**63)),
            ("sequence_too_large_for_a_message", make_raw("sequence", b"%d" % 2**64)),
            ("sequence_of_400_digits", make_raw("sequence", b"1" + b"0" * 400)),
            ("sequence_of_5000_digits", make_raw("sequence", b"9" * 5000)),
            ("negative_sequence", make_body(sequence=-1)),
            ("sequence_is_a_fraction", make_body(sequence=1.5)),
            ("born_of_64_bits", make_body(born=2**63)),
            ("born_of_400_digits", make_raw("born", b"1" + b"0" * 400)),
            ("born_in_microseconds", make_body(born=NOW_MS * 1000)),
            ("born_far_ahead", make_body(born=NOW_MS + MAX_BORN_AHEAD_MS + 1)),
            ("negative_born", make_body(born=-1)),
            ("slots_of_70_bits", make_raw("slots", b"%d" % 2**70)),
            ("empty_software_version", make_body(version="")),
            ("software_version_of_another_type", make_body(version=1)),
            ("long_software_version", make_body(version="v" * (MAX_TEXT_CHARS + 1))),
            ("too_many_slots", make_body(slots=MAX_SLOTS + 1)),
            ("negative_slots", make_body(slots=-1)),
            ("endless_cold_time", make_body(cold_remaining_ms=1e305)),
            ("cold_time_above_a_float", make_raw("cold_remaining_ms", b"1e400")),
            ("cold_time_is_null", make_raw("cold_remaining_ms", b"null")),
            ("cold_time_is_no_number", make_raw("cold_remaining_ms", b"NaN")),
            ("cold_time_far_below_zero", make_body(cold_remaining_ms=-1e305)),
            (
                "version_of_64_bits",
                make_body(models=[{"name": "m", "version": 2**63}]),
            ),
            ("negative_version", make_body(models=[{"name": "m", "version": -1}])),
            ("model_without_a_name", make_body(models=[{"name": "", "version": 1}])),
            (
                "long_model_name",
                make_body(models=[{"name": "m" * (MAX_TEXT_CHARS + 1), "version": 1}]),
            ),
            (
                "too_many_models",
                make_body(models=[{"name": "m", "version": 1}] * (MAX_MODELS + 1)),
            ),
            ("long_service", make_body(service="s" * (MAX_TEXT_CHARS + 1))),
            ("empty_service", make_body(service="")),
            ("service_with_a_line_break", make_body(service="shop\n")),
            ("zone_outside_ascii", make_body(zone="zürich")),
            ("unknown_state", make_body(state="idle")),
            ("nested_too_deeply", make_nested(MAX_NESTING + 1)),
            ("nested_hundreds_deep", make_nested(500)),
            ("nested_objects", make_nested(500, b'{"a":', b"}")),
            ("nested_beyond_the_stack", make_nested(100_000)),
            ("body_too_large", make_body(extra="x" * MAX_ANNOUNCEMENT_BYTES)),
        ]
    ]

    def test_refused(self) -> None:
        """Each is refused with the typed error."""
        self.assertRaises(MalformedRequestError, decode_now, self.body)


class TargetIdTest(testtools.TestCase):
    """Identifiers from the path, which are sent in a header later."""

    scenarios = [
        ("empty", {"target_id": ""}),
        ("too_long", {"target_id": "i" * (MAX_TEXT_CHARS + 1)}),
        ("outside_ascii", {"target_id": "i-é"}),
        ("line_break", {"target_id": "i-1\r\nx: y"}),
        ("trailing_line_break", {"target_id": "i-1\n"}),
        ("space", {"target_id": "i 1"}),
        ("null", {"target_id": "i\0"}),
    ]

    def test_refused(self) -> None:
        """Each is refused with the typed error."""
        self.assertRaises(
            MalformedRequestError, decode_now, make_body(), self.target_id
        )


class NestingTest(testtools.TestCase):
    """How deeply a text is nested."""

    def test_strings_do_not_count(self) -> None:
        """Brackets and escaped quotes in strings are no nesting."""
        text = b'["\\"' + b"[" * 100 + b'", "\\\\", []]'
        self.assertFalse(is_too_deep(text))

    def test_many_shallow_lists(self) -> None:
        """Many lists side by side are not deep."""
        self.assertFalse(is_too_deep(b"[" + b"[]," * 1000 + b"[]]"))
