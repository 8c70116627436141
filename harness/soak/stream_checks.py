"""Checks a soak's streams, over single answers and over a client's attempts."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable

from standins.platform_target import get_event_count, make_event

from ..history import Verdict
from .clients import RESUMED_ROUTE, STREAMING_ROUTES
from .request_record import RequestRecord
from .soak_history import SoakHistory

MIN_TAKE_UPS = 12
"""Smallest number of attempts to take a stream up that is judged."""

MIN_GOING_ON_SHARE = 0.5
"""Smallest share of them that go on, relative to that of new streams that begin."""

FIRST_EVENT_PATTERN = re.compile(rb"id: \d+\ndata: \S+ \S+ (\S+)\n\n")
"""First complete event of a stream, with its build."""


def make_events(stream: str, after: int, build: str) -> bytes:
    """Return all events of a stream that follow the event with a number."""
    numbers = range(after + 1, get_event_count(stream) + 1)
    return "".join(make_event(stream, n, build) for n in numbers).encode()


def get_build(body: bytes) -> str:
    """Return the build of the first complete event; empty without one."""
    first = FIRST_EVENT_PATTERN.match(body)
    return first[1].decode() if first else ""


def group_by_stream(
    records: Iterable[RequestRecord],
) -> dict[str, list[RequestRecord]]:
    """Return the attempts that received complete events, by stream and in order."""
    groups: dict[str, list[RequestRecord]] = defaultdict(list)
    for record in sorted(records, key=lambda r: r.sent_s):
        if record.route in STREAMING_ROUTES and record.complete_events:
            groups[record.stream].append(record)
    return groups


def check_streams(records: list[RequestRecord]) -> Verdict:
    """Check that successful streams have every event once and in order."""
    verdict = Verdict("streams_in_order")
    for record in records:
        if record.status == 200 and record.route in STREAMING_ROUTES:
            build = get_build(record.body)
            expected = make_events(record.stream, record.after, build)
            verdict.expect(
                record.body == expected, f"{record.attempt}: {record.body[-60:]}"
            )
    return verdict


def check_builds(records: list[RequestRecord]) -> Verdict:
    """Check that no stream holds events of two builds.

    The attempts of a client together have no gap and no event twice.
    """
    verdict = Verdict("streams_of_one_build")
    for stream, attempts in group_by_stream(records).items():
        build = get_build(attempts[0].body)
        expected = make_events(stream, 0, build)
        received = b""
        for record in attempts:
            is_prefix = expected.startswith(received + record.body)
            verdict.expect(
                is_prefix, f"{record.attempt} of {stream}, {build}: {record.body[-60:]}"
            )
            received += record.complete_events
    return verdict


def check_take_ups(history: SoakHistory) -> Verdict:
    """Check that streams go on if a client takes them up while their build serves."""
    builds = {
        stream: get_build(attempts[0].body)
        for stream, attempts in group_by_stream(history.records).items()
    }
    begun, gone_on = [], []
    for record in history.records:
        is_judged = (
            record.route == RESUMED_ROUTE
            and not record.introduced_version
            and history.is_fault_free(record.host, record.sent_s, record.ended_s)
        )
        if not is_judged or (record.has_disconnected and not record.goes_on):
            continue
        build = builds.get(record.stream, "")
        if not record.is_take_up:
            begun.append(record.goes_on)
        elif history.has_target(build, record.sent_s, record.ended_s):
            gone_on.append(record.goes_on)
    verdict = Verdict("taken_up_streams_go_on", checked=len(gone_on))
    if len(gone_on) >= MIN_TAKE_UPS:
        share = sum(gone_on) / len(gone_on)
        begun_share = sum(begun) / max(1, len(begun))
        if share < MIN_GOING_ON_SHARE * begun_share:
            verdict.violations.append(
                f"{sum(gone_on)} of {len(gone_on)} went on, "
                f"{sum(begun)} of {len(begun)} began"
            )
    return verdict
