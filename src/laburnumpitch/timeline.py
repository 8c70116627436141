"""Merges the logs of all processes into one timeline."""

from __future__ import annotations

import argparse
import html
import re
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .clock import COUNTER_BITS
from .errors import SettingsError

FIELD_PATTERN = re.compile(r'([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|\S*)')
"""A key=value pair of a log line."""

FILTER_FIELDS = ("request", "organisation", "target", "revision")
"""Fields by which events can be filtered."""

HIDDEN_FIELDS = frozenset(("hlc", "level", "event", "node"))
"""Fields that are left out of the details, since they are shown elsewhere."""

PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title><style>
body{{font:13px system-ui,sans-serif;margin:16px;color:#222}}
table{{border-collapse:collapse}}
th{{position:sticky;top:0;background:#fff;text-align:left;border-bottom:2px solid #888}}
th,td{{padding:2px 10px;vertical-align:top;border-left:1px solid #ddd}}
tr:hover{{background:#f4f4f4}}
td.time{{font-family:monospace;white-space:nowrap;border-left:0}}
b{{font-weight:600}} .warning b,.error b{{color:#b00}}
small{{color:#555;overflow-wrap:anywhere;display:block;max-width:26em}}
</style></head><body><h1>Timeline</h1><p>{summary}</p>
<table><thead><tr><th>ms</th>{header_cells}</tr></thead><tbody>
{rows}
</tbody></table></body></html>
"""


@dataclass(frozen=True)
class Event:
    """An event of a log."""

    timestamp: int
    """Timestamp of the hybrid logical clock."""
    node: str
    name: str
    level: str
    fields: dict[str, str]
    """All key=value pairs of the line."""

    @property
    def time_ms(self) -> int:
        """Wall time of the timestamp, in milliseconds."""
        return self.timestamp >> COUNTER_BITS


def parse_line(line: str) -> Event | None:
    """Parse a line; return None if it is not an event."""
    fields = {}
    for key, value in FIELD_PATTERN.findall(line):
        if value.startswith('"'):
            value = value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
        fields[key] = value
    if not fields.get("hlc", "").isdecimal() or "event" not in fields:
        return None
    return Event(
        int(fields["hlc"]),
        fields.get("node", "?"),
        fields["event"],
        fields.get("level", "info"),
        fields,
    )


def read_events(paths: Iterable[Path]) -> list[Event]:
    """Read the events of all files in causal order."""
    events = []
    for path in paths:
        with open(path, errors="replace") as stream:
            events.extend(filter(None, map(parse_line, stream)))
    events.sort(key=lambda event: (event.timestamp, event.node))
    return events


def filter_events(events: list[Event], filters: dict[str, str]) -> list[Event]:
    """Return the events that match all filters (values by field)."""
    return [
        event
        for event in events
        if all(matches_filter(event, key, value) for key, value in filters.items())
    ]


def matches_filter(event: Event, key: str, value: str) -> bool:
    """Whether an event's field equals a value, or for `request` begins with it."""
    actual = event.fields.get(key, "")
    return actual.startswith(value) if key == "request" else actual == value


def format_details(event: Event) -> str:
    """Return the fields that are specific to an event."""
    return " ".join(
        f"{key}={value}"
        for key, value in event.fields.items()
        if key not in HIDDEN_FIELDS
    )


def render_text(events: list[Event]) -> Iterator[str]:
    """Yield a line for each event; times are relative to the first event."""
    start_ms = events[0].time_ms if events else 0
    width = max((len(event.node) for event in events), default=0)
    for event in events:
        yield (
            f"{event.time_ms - start_ms:>9} ms  {event.node:<{width}}  "
            f"{event.name}  {format_details(event)}".rstrip()
        )


def render_html(events: list[Event]) -> str:
    """Return an HTML page with a column for each process."""
    nodes = sorted({event.node for event in events})
    start_ms = events[0].time_ms if events else 0
    rows = []
    for event in events:
        cells = []
        for node in nodes:
            text = ""
            if node == event.node:
                name = html.escape(event.name)
                text = (
                    f"<b>{name}</b><small>{html.escape(format_details(event))}</small>"
                )
            cells.append(f"<td>{text}</td>")
        level = html.escape(event.level)
        time_cell = f'<td class="time">{event.time_ms - start_ms}</td>'
        rows.append(f'<tr class="{level}">{time_cell}{"".join(cells)}</tr>')
    header_cells = "".join(f"<th>{html.escape(node)}</th>" for node in nodes)
    summary = f"{len(events)} events of {len(nodes)} processes"
    return PAGE_TEMPLATE.format(
        summary=summary, header_cells=header_cells, rows="\n".join(rows)
    )


def run_timeline(namespace: argparse.Namespace) -> int:
    """Print the timeline of log files, or write it to an HTML page."""
    paths = [Path(name) for name in namespace.files]
    for path in paths:
        if not path.is_file():
            raise SettingsError(f"timeline: {path} is not a file")
    filters = {
        key: getattr(namespace, key) for key in FILTER_FIELDS if getattr(namespace, key)
    }
    events = filter_events(read_events(paths), filters)
    if namespace.html:
        Path(namespace.html).write_text(render_html(events))
        print(f"{namespace.html}: {len(events)} events")
        return 0
    for line in render_text(events):
        sys.stdout.write(line + "\n")
    return 0


def add_timeline_command(commands: Any) -> None:
    """Add the timeline command to the program's parser."""
    parser = commands.add_parser(
        "timeline", help="merge the logs of all processes in causal order"
    )
    parser.add_argument("files", nargs="+", metavar="FILE", help="log of a process")
    for name in FILTER_FIELDS:
        parser.add_argument(
            f"--{name}", default="", help=f"show only events of this {name}"
        )
    parser.add_argument(
        "--html", default="", help="write an HTML page to this file instead"
    )
    parser.set_defaults(run=run_timeline)
