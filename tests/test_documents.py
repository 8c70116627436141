"""The timeline, the hybrid logical clock, the reference pages and the guards."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from harness.guard_proof import ROOT, read_guards
from harness.reference import find_stale_pages
from laburnumpitch.clock import COUNTER_BITS, HybridLogicalClock
from laburnumpitch.timeline import (
    filter_events,
    read_events,
    render_html,
    render_text,
)

LOGS = {
    "e1.log": """\
hlc=131072000 level=info event=dispatched node=e1 request=abc target=engine1
hlc=196608000 level=info event=completed node=e1 request=abc detail="a \\"b\\" <c>"
not an event
""",
    "e2.log": """\
hlc=131072001 level=warning event=target_died node=e2 request=def target=engine1
""",
}


class TimelineTest(testtools.TestCase):
    """Logs of two processes, merged into one timeline."""

    def setUp(self) -> None:
        """Write the logs."""
        super().setUp()
        folder = Path(tempfile.mkdtemp())
        self.paths = []
        for name, text in LOGS.items():
            path = folder / name
            path.write_text(text)
            self.paths.append(path)

    def test_text(self) -> None:
        """The events of all processes are listed in causal order."""
        lines = list(render_text(read_events(reversed(self.paths))))
        self.assertEqual(
            [
                "        0 ms  e1  dispatched  request=abc target=engine1",
                "        0 ms  e2  target_died  request=def target=engine1",
                '     1000 ms  e1  completed  request=abc detail=a "b" <c>',
            ],
            lines,
        )

    def test_filters(self) -> None:
        """Events are filtered by target and by the start of a request's id."""
        events = read_events(self.paths)
        self.assertEqual(2, len(filter_events(events, {"target": "engine1"})))
        chosen = filter_events(events, {"target": "engine1", "request": "ab"})
        self.assertEqual(["dispatched"], [event.name for event in chosen])

    def test_html(self) -> None:
        """The page has a column for each process, and texts of events are escaped."""
        page = render_html(read_events(self.paths))
        self.assertIn("<th>e1</th><th>e2</th>", page)
        self.assertIn("&lt;c&gt;", page)
        self.assertNotIn("<c>", page)


class ClockTest(testtools.TestCase):
    """The hybrid logical clock."""

    def test_timestamps_grow(self) -> None:
        """Timestamps grow when the wall clock goes back and after a later timestamp."""
        wall_s = [100.0]
        clock = HybridLogicalClock(lambda: wall_s[0])
        first = clock.tick()
        wall_s[0] = 50.0
        second = clock.tick()
        clock.observe(200_000 << COUNTER_BITS)
        third = clock.tick()
        self.assertTrue(first < second < third)
        self.assertEqual(200_000, third >> COUNTER_BITS)


class ProjectTest(testtools.TestCase):
    """Files that must agree with the code."""

    def test_reference(self) -> None:
        """The reference pages are the ones generated from the code."""
        self.assertEqual([], find_stale_pages())

    def test_guards(self) -> None:
        """The text of each guard occurs exactly once, and its test exists."""
        for guard in read_guards():
            text = (ROOT / guard.file).read_text()
            self.assertEqual(1, text.count(guard.find), guard.id)
            module = guard.test.split(".test_")[1].split(".")[0]
            self.assertTrue(list(ROOT.glob(f"tests/**/test_{module}.py")), guard.id)
