"""Tests of the splitting of streams into complete events."""

from __future__ import annotations

import testtools

from laburnumpitch.relay.event_stream import EventSplitter


class EventSplitterTest(testtools.TestCase):
    """Streams that are received in parts, cut at any byte."""

    scenarios = [
        ("complete", {"parts": [b"id: 1\ndata: a\n\n"], "last": "1", "pending": b""}),
        (
            "cut_in_an_event",
            {
                "parts": [b"id: 1\ndata: a\n\nid: 2\nda"],
                "last": "1",
                "pending": b"id: 2\nda",
            },
        ),
        (
            "cut_in_the_separator",
            {"parts": [b"id: 1\ndata: a\n", b"\n"], "last": "1", "pending": b""},
        ),
        (
            "identifier_only_at_a_line's_start",
            {"parts": [b"id: 3\ndata: id: 9\n\n"], "last": "3", "pending": b""},
        ),
        (
            "version_before_the_identifier",
            {
                "parts": [b"weight-versions: 2\nid: 4\ndata: x\n\n"],
                "last": "4",
                "pending": b"",
            },
        ),
    ]

    def test_split(self) -> None:
        """Complete events are passed on at once; nothing is lost or duplicated."""
        splitter = EventSplitter()
        passed = b"".join(splitter.feed(part) for part in self.parts)
        self.assertEqual(b"".join(self.parts), passed + splitter.pending)
        self.assertEqual(self.last, splitter.last_event_id)
        self.assertEqual(self.pending, splitter.pending)
