"""What must hold of a soak, from what clients and targets have seen."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from standins.platform_target import Arrival, Journal, get_event_count, make_event

from ..history import Verdict
from .clients import Record
from .operator import PLAIN, STEP_ROUTES, Change, Operator

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that say that a request has not run and never will."""

DRAIN_S = 2.0
"""Time after an acknowledged leaving within which requests still may come."""

APPLY_S = 2.0
"""Time in which a configuration is in force everywhere."""

CALM_S = 3.0
"""Time after a fault in which a node is not held to times."""

LEASE_S = 3.0
"""Time in which orders of two holders may not take turns."""

VERSION_S = 12.0
"""Time in which all engines have a named weight version."""

MAX_TARGETS = {"order": 1, "ask": 1, "read": 2, "moved": 2, "resumed": 2, "step": 1}
SERVED_SHARE = 0.9
"""Part of the requests that are served once all faults have ended."""


@dataclass
class Evidence:
    """Everything that a run has seen."""

    records: list[Record]
    journal: Journal
    operator: Operator
    disturbances: dict[str, list[float]]
    """Times at which a fault struck or ended, by node."""
    stops_s: dict[str, list[float]]
    """Times of planned stops, by node."""
    any_fault_s: list[float]
    """Times of all faults that are no planned work."""
    healed_s: float
    """When all faults had ended, and time for recovery had passed."""

    def is_calm(self, host: str, at_s: float) -> bool:
        """Whether nothing disturbed a node shortly before a time."""
        times = self.disturbances.get(host, ())
        return not any(at_s - CALM_S <= t <= at_s for t in times)


def check_all(evidence: Evidence) -> list[Verdict]:
    """Check every property."""
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in evidence.journal.arrivals:
        if arrival.has_run:
            runs[arrival.attempt].append(arrival)
    return [
        check_runs(evidence, runs),
        check_refusals(evidence.records, runs),
        check_answers(evidence.records, runs),
        check_streams(evidence.records),
        check_organisations(evidence, runs),
        check_context(evidence.journal),
        check_draining(evidence),
        check_configuration(evidence, runs),
        check_reads(evidence.operator),
        check_holders(evidence.journal),
        check_stops(evidence),
        check_recovery(evidence),
    ]


def check_runs(evidence: Evidence, runs: dict[str, list[Arrival]]) -> Verdict:
    """Check that nothing runs more often than its kind allows, nor unasked."""
    verdict = Verdict("runs_are_bounded")
    routes = {record.attempt: record.route for record in evidence.records}
    for attempt, arrivals in runs.items():
        most = MAX_TARGETS.get(routes.get(attempt, ""), 0)
        verdict.expect(len(arrivals) <= most, f"{attempt}: {len(arrivals)} runs")
    return verdict


def check_refusals(records: list[Record], runs: dict[str, list[Arrival]]) -> Verdict:
    """Check that what was refused as not run never ran."""
    verdict = Verdict("not_run_is_true")
    for record in records:
        if record.status in PROMISES and record.route in ("order", "ask"):
            verdict.expect(record.attempt not in runs, f"{record.attempt} ran")
    return verdict


def check_answers(records: list[Record], runs: dict[str, list[Arrival]]) -> Verdict:
    """Check that each success is a target's own whole answer to this request."""
    verdict = Verdict("whole_own_answers")
    for record in records:
        if record.status != 200:
            continue
        seals = {arrival.seal for arrival in runs.get(record.attempt, ())}
        is_own = record.seal in seals
        if record.route not in ("ask", "resumed"):
            is_own &= json.loads(record.body)["attempt"] == record.attempt
        verdict.expect(is_own, f"{record.attempt}: {record.seal} {record.body[:80]}")
    return verdict


def check_streams(records: list[Record]) -> Verdict:
    """Check that whole streams have every event once and in order."""
    verdict = Verdict("streams_in_order")
    for record in records:
        if record.status == 200 and record.route in ("ask", "resumed"):
            count = get_event_count(record.attempt)
            wanted = "".join(make_event(record.attempt, n + 1) for n in range(count))
            is_whole = record.body == wanted.encode()
            verdict.expect(is_whole, f"{record.attempt}: {record.body[-60:]}")
    return verdict


def check_organisations(evidence: Evidence, runs: dict[str, list[Arrival]]) -> Verdict:
    """Check that targets are told the organisation that holds the key."""
    verdict = Verdict("own_organisation")
    for record in evidence.records:
        for arrival in runs.get(record.attempt, ()):
            is_own = arrival.organisation == record.organisation
            verdict.expect(is_own, f"{record.attempt}: {arrival.organisation}")
    return verdict


def check_context(journal: Journal) -> Verdict:
    """Check that no kept context is used under other weights or across a wall."""
    verdict = Verdict("context_is_kept_apart", checked=len(journal.arrivals))
    verdict.violations += journal.context_violations
    return verdict


def check_draining(evidence: Evidence) -> Verdict:
    """Check that a leaving target gets nothing new after a while."""
    verdict = Verdict("leaving_target_gets_no_work")
    hosts = {record.attempt: record.host for record in evidence.records}
    for arrival in evidence.journal.arrivals:
        host = hosts.get(arrival.attempt, "")
        if arrival.has_run and evidence.is_calm(host, arrival.at_s):
            late_s = arrival.at_s - arrival.drain_acknowledged_s
            verdict.expect(late_s <= DRAIN_S, f"{arrival.target_id}: {late_s:.1f} s")
    return verdict


def list_in_force(changes: Iterable[Change], at_s: float) -> list[int]:
    """Return the versions of which any may be in force at a time."""
    oldest = 0
    allowed = []
    for change in changes:
        if change.acknowledged_s + APPLY_S < at_s:
            oldest = max(oldest, change.version)
        if change.sent_s <= at_s:
            allowed.append(change.version)
    return [version for version in allowed if version >= oldest]


def check_configuration(evidence: Evidence, runs: dict[str, list[Arrival]]) -> Verdict:
    """Check that calm nodes obey a configuration soon, and no older one again."""
    verdict = Verdict("configuration_in_force")
    newest_seen: dict[tuple[str, int], tuple[int, float]] = {}
    for record in sorted(evidence.records, key=lambda r: r.sent_s):
        is_calm = evidence.is_calm(record.host, record.sent_s)
        sent = [*list_in_force(evidence.operator.changes, record.sent_s)]
        ended = [*list_in_force(evidence.operator.changes, record.ended_s)]
        allowed = set(sent) | set(ended)
        if not is_calm or not allowed:
            continue
        if record.route == "moved" and record.status == 200:
            services = {PLAIN[version % 2] for version in allowed}
            service = json.loads(record.body)["service"]
            verdict.expect(service in services, f"{record.attempt}: by {service}")
        if not record.step:
            continue
        holds = {v: v - STEP_ROUTES < record.step <= v for v in allowed}
        name = f"{record.attempt} at {record.host}: step {record.step}, {allowed}"
        if record.status in (401, 404):
            verdict.expect(not all(holds.values()), f"{name}: {record.status}")
        elif record.status == 200:
            verdict.expect(any(holds.values()), f"{name}: served")
            place = (record.host, record.process_id)
            before = newest_seen.get(place, (0, 0.0))
            if record.step > before[0]:
                newest_seen[place] = (record.step, record.ended_s)
        if max(allowed) - STEP_ROUTES < record.step:
            check_no_return(verdict, record, newest_seen, name)
    return verdict


def check_no_return(
    verdict: Verdict,
    record: Record,
    newest_seen: dict[tuple[str, int], tuple[int, float]],
    name: str,
) -> None:
    """Check that a node does not obey an older configuration than it did."""
    seen, seen_s = newest_seen.get((record.host, record.process_id), (0, 0.0))
    is_after = record.sent_s > seen_s
    if is_after and record.step == seen and record.status in (401, 404):
        # No newer configuration has dropped it, so an older one must be back.
        verdict.expect(False, f"{name}: refused after it was served")


def check_reads(operator: Operator) -> Verdict:
    """Check reads of the configuration, and that invalid ones are refused."""
    checked = operator.reads + operator.invalid_sent
    verdict = Verdict("configuration_reads", checked=checked)
    verdict.violations += operator.stale_reads + operator.invalid_taken
    return verdict


def check_holders(journal: Journal) -> Verdict:
    """Check that one holder at a time gives orders, under rising tokens."""
    verdict = Verdict("one_holder")
    holders: dict[int, str] = {}
    newest: dict[str, int] = defaultdict(int)
    before = None
    for order in journal.orders:
        holder = holders.setdefault(order.token, order.holder)
        verdict.expect(holder == order.holder, f"token {order.token} of two")
        verdict.expect(order.token >= newest[order.target_id], "a token fell")
        newest[order.target_id] = max(order.token, newest[order.target_id])
        if before is not None and before.holder != order.holder:
            gap_s = order.at_s - before.at_s
            verdict.expect(gap_s >= LEASE_S, f"holders changed within {gap_s:.1f} s")
        before = order
    return verdict


def check_stops(evidence: Evidence) -> Verdict:
    """Check that a planned stop cuts no request, where nothing else strikes."""
    verdict = Verdict("planned_stop_cuts_nothing")
    for record in evidence.records:
        for stop_s in evidence.stops_s.get(record.host, ()):
            is_within = record.sent_s < stop_s + 1.0 and stop_s < record.ended_s
            span = (record.sent_s - CALM_S, record.ended_s)
            is_disturbed = any(span[0] <= t <= span[1] for t in evidence.any_fault_s)
            if is_within and not is_disturbed and not record.has_left:
                was_lost = record.is_cut and record.was_connected
                verdict.expect(not was_lost, f"{record.attempt} at {record.host}")
    return verdict


def check_recovery(evidence: Evidence) -> Verdict:
    """Check that requests are served again once all faults have ended."""
    verdict = Verdict("service_recovers")
    late = [
        record
        for record in evidence.records
        if record.sent_s > evidence.healed_s and not record.has_left and not record.step
    ]
    served = Counter(record.status == 200 for record in late)[True]
    if late:
        share = served / len(late)
        verdict.expect(share >= SERVED_SHARE, f"served {served} of {len(late)}")
    # Loads take a while; a version that was named later may not be in place yet.
    named = [
        named.version
        for named in evidence.operator.named
        if named.acknowledged_s + VERSION_S < evidence.healed_s
    ]
    newest = max(named, default=1)
    last = {a.target_id: a.version for a in evidence.journal.arrivals if a.version}
    old = {t for t, version in last.items() if version < newest}
    used = {
        a.target_id for a in evidence.journal.arrivals if a.at_s > evidence.healed_s
    }
    verdict.expect(not old & used, f"old weights at {sorted(old & used)}")
    return verdict
