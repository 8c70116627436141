"""Reports, events and listings of targets with odd numbers."""

from __future__ import annotations

import msgspec
import testtools

from laburnumpitch.errors import MalformedAnswerError
from laburnumpitch.platform.target_client import (
    WireEvents,
    WireListing,
    WireReport,
    decode_answer,
)
from laburnumpitch.platform.wire_values import MAX_INTEGER, MAX_TOKENS

REPORT = {"sequence": 2, "busy": False, "models": [{"name": "m", "version": 1}]}
EVENTS = {
    "epoch": 1,
    "next_token": 2,
    "has_gap": False,
    "events": [[1, "+", "s", "p", 800, "m"]],
    "clock_ms": 5,
}
LISTING = {
    "epoch": 1,
    "next_token": 2,
    "held_entries": [["s", "p", 800, "m"]],
    "partial": [["s", "q", 16, 32]],
}
HUGE = msgspec.Raw(b"9" * 400)
"""A number of 400 digits."""


def make_scenario(name: str, wire_type: type, answer: dict, **changes: object):
    """Return a scenario with an answer whose fields are changed."""
    body = msgspec.json.encode({**answer, **changes})
    return (name, {"wire_type": wire_type, "body": body})


def make_report(name: str, **changes: object):
    """Return a scenario with an engine's report."""
    return make_scenario(f"report_{name}", WireReport, REPORT, **changes)


def make_events(name: str, **changes: object):
    """Return a scenario with a store's events."""
    return make_scenario(f"events_{name}", WireEvents, EVENTS, **changes)


def make_listing(name: str, **changes: object):
    """Return a scenario with a store's listing."""
    return make_scenario(f"listing_{name}", WireListing, LISTING, **changes)


class SoundTest(testtools.TestCase):
    """Numbers at their bounds."""

    scenarios = [
        make_report("plain"),
        make_report("highest_version", models=[{"name": "m", "version": MAX_INTEGER}]),
        make_events("plain"),
        make_events("most_tokens", events=[[1, "+", "s", "p", MAX_TOKENS, "m"]]),
        make_events("without_a_clock", clock_ms=None),
        make_events("negative_epoch", epoch=-5),
        make_listing("plain"),
        make_listing("empty", held_entries=[], partial=[]),
    ]

    def test_accepted(self) -> None:
        """Each is decoded."""
        self.assertIsInstance(decode_answer(self.body, self.wire_type), self.wire_type)


class OddTest(testtools.TestCase):
    """Numbers that cannot be calculated with, or sent to other nodes."""

    scenarios = [
        make_report("version_of_64_bits", models=[{"name": "m", "version": 2**63}]),
        make_report("version_of_400_digits", models=[{"name": "m", "version": HUGE}]),
        make_report("negative_version", models=[{"name": "m", "version": -1}]),
        make_report("sequence_of_400_digits", sequence=HUGE),
        make_report("negative_sequence", sequence=-1),
        make_events("clock_of_400_digits", clock_ms=HUGE),
        make_events("negative_clock", clock_ms=-1),
        make_events("epoch_of_400_digits", epoch=HUGE),
        make_events("next_event_of_400_digits", next_token=HUGE),
        make_events("negative_next_event", next_token=-1),
        make_events("tokens_of_400_digits", events=[[1, "+", "s", "p", HUGE, "m"]]),
        make_events("negative_tokens", events=[[1, "+", "s", "p", -800, "m"]]),
        make_events(
            "tokens_above_bound", events=[[1, "+", "s", "p", MAX_TOKENS + 1, "m"]]
        ),
        make_listing("tokens_of_400_digits", held_entries=[["s", "p", HUGE, "m"]]),
        make_listing("negative_tokens", held_entries=[["s", "p", -800, "m"]]),
        make_listing("epoch_of_400_digits", epoch=HUGE),
        make_listing("partial_tokens_of_400_digits", partial=[["s", "q", 1, HUGE]]),
    ]

    def test_refused(self) -> None:
        """Each is refused as a malformed answer."""
        self.assertRaises(
            MalformedAnswerError, decode_answer, self.body, self.wire_type
        )
