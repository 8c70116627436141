"""Checks a soak's properties on what its clients, targets and operator recorded."""

from __future__ import annotations

import json
from collections import Counter, defaultdict

from standins.platform_target import Arrival, Journal

from ..history import Verdict
from .clients import STREAMING_ROUTES
from .evacuation_checks import check_evacuations
from .fleet import MEMORY_MB
from .operator import (
    PLAIN_SERVICES,
    VERSIONED_ROUTE_LIFETIME,
    SoakOperator,
    list_versions_in_force,
)
from .request_record import RequestRecord
from .soak_history import FAULT_RECOVERY_S, SoakHistory
from .stream_checks import check_builds, check_streams, check_take_ups
from .work_checks import check_work

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request has not run and will not run."""

MAX_DRAIN_S = 2.0
"""Time after the acknowledgement of its leaving in which a target may get requests."""

HOLDER_CHANGE_MIN_S = 3.0
"""Shortest time between orders of two different lease holders."""

WEIGHT_ROLLOUT_S = 12.0
"""Time from a weight version's acknowledgement until all engines must serve it."""

MAX_RUNS_BY_ROUTE = {
    "order": 1,
    "ask": 1,
    "read": 2,
    "moved": 2,
    "resumed": 2,
    "step": 1,
}
"""How often a request may run at targets, by its route's name."""

MIN_SERVED_SHARE = 0.9
"""Smallest part of the requests that must be served after the recovery."""


def check_all(history: SoakHistory) -> list[Verdict]:
    """Check every property."""
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.journal.arrivals:
        if arrival.has_run:
            runs[arrival.attempt].append(arrival)
    return [
        check_runs(history, runs),
        check_refusals(history.records, runs),
        check_answers(history.records, runs),
        check_streams(history.records),
        check_builds(history.records),
        check_take_ups(history),
        check_organisations(history, runs),
        check_context_isolation(history.journal),
        check_draining(history),
        check_evacuations(history),
        check_configuration(history, runs),
        check_reads(history.operator),
        check_holders(history.journal),
        check_planned_stops(history),
        check_work(history),
        check_recovery(history),
        check_memory(history),
    ]


def check_memory(history: SoakHistory) -> Verdict:
    """Check that the nodes stay within their machines, also under floods."""
    verdict = Verdict("nodes_within_memory")
    for host, peak_bytes in history.peak_memory_bytes.items():
        peak_mb = peak_bytes / 1024 / 1024
        verdict.expect(peak_mb < MEMORY_MB, f"{host}: {peak_mb:.0f} MB")
    return verdict


def check_runs(history: SoakHistory, runs: dict[str, list[Arrival]]) -> Verdict:
    """Check that no request runs too often, and that nothing runs without one."""
    verdict = Verdict("runs_are_bounded")
    routes = {record.attempt: record.route for record in history.records}
    for attempt, arrivals in runs.items():
        max_runs = MAX_RUNS_BY_ROUTE.get(routes.get(attempt, ""), 0)
        verdict.expect(len(arrivals) <= max_runs, f"{attempt}: {len(arrivals)} runs")
    return verdict


def check_refusals(
    records: list[RequestRecord], runs: dict[str, list[Arrival]]
) -> Verdict:
    """Check that requests that were refused as not run never ran.

    Only routes with a single attempt are checked.
    """
    verdict = Verdict("not_run_is_true")
    for record in records:
        if record.status in NOT_RUN_STATUSES and record.route in ("order", "ask"):
            verdict.expect(record.attempt not in runs, f"{record.attempt} ran")
    return verdict


def check_answers(
    records: list[RequestRecord], runs: dict[str, list[Arrival]]
) -> Verdict:
    """Check that each success is a target's answer to this request."""
    verdict = Verdict("whole_own_answers")
    for record in records:
        if record.status != 200:
            continue
        seals = {arrival.seal for arrival in runs.get(record.attempt, ())}
        is_own = record.seal in seals
        if record.route not in STREAMING_ROUTES:
            is_own &= json.loads(record.body)["attempt"] == record.attempt
        verdict.expect(is_own, f"{record.attempt}: {record.seal} {record.body[:80]}")
    return verdict


def check_organisations(
    history: SoakHistory, runs: dict[str, list[Arrival]]
) -> Verdict:
    """Check that targets get the name of the organisation that owns the API key."""
    verdict = Verdict("own_organisation")
    for record in history.records:
        for arrival in runs.get(record.attempt, ()):
            is_own = arrival.organisation == record.organisation
            verdict.expect(is_own, f"{record.attempt}: {arrival.organisation}")
    return verdict


def check_context_isolation(journal: Journal) -> Verdict:
    """Check the use of kept context.

    It is used neither under other weights nor across isolated organisations.
    """
    verdict = Verdict("context_is_kept_apart", checked=len(journal.arrivals))
    verdict.violations += journal.context_violations
    return verdict


def check_draining(history: SoakHistory) -> Verdict:
    """Check that a leaving target gets no new requests after `MAX_DRAIN_S`."""
    verdict = Verdict("leaving_target_gets_no_work")
    hosts = {record.attempt: record.host for record in history.records}
    for arrival in history.journal.arrivals:
        host = hosts.get(arrival.attempt, "")
        if arrival.has_run and history.is_fault_free(host, arrival.at_s, arrival.at_s):
            late_s = arrival.at_s - arrival.drain_acknowledged_s
            verdict.expect(
                late_s <= MAX_DRAIN_S, f"{arrival.target_id}: {late_s:.1f} s"
            )
    return verdict


def check_configuration(
    history: SoakHistory, runs: dict[str, list[Arrival]]
) -> Verdict:
    """Check that nodes apply a configuration in time and do not return to older ones.

    A node is exempt shortly after a fault.
    """
    verdict = Verdict("configuration_in_force")
    newest_served: dict[tuple[str, int], tuple[int, float]] = {}
    for record in sorted(history.records, key=lambda r: r.sent_s):
        is_fault_free = history.is_fault_free(
            record.host, record.sent_s, record.ended_s
        )
        versions_when_sent = [
            *list_versions_in_force(
                history.operator.configuration_changes, record.sent_s
            )
        ]
        versions_when_ended = [
            *list_versions_in_force(
                history.operator.configuration_changes, record.ended_s
            )
        ]
        allowed = set(versions_when_sent) | set(versions_when_ended)
        if not is_fault_free or not allowed:
            continue
        if record.route == "moved" and record.status == 200:
            services = {PLAIN_SERVICES[version % 2] for version in allowed}
            service = json.loads(record.body)["service"]
            verdict.expect(
                service in services, f"{record.attempt}: served by {service}"
            )
        if not record.introduced_version:
            continue
        has_route = {
            v: v - VERSIONED_ROUTE_LIFETIME < record.introduced_version <= v
            for v in allowed
        }
        description = (
            f"{record.attempt} at {record.host}: "
            f"step {record.introduced_version}, {allowed}"
        )
        if record.status in (401, 404):
            verdict.expect(
                not all(has_route.values()), f"{description}: {record.status}"
            )
        elif record.status == 200:
            verdict.expect(any(has_route.values()), f"{description}: served")
            process_key = (record.host, record.process_id)
            newest = newest_served.get(process_key, (0, 0.0))
            if record.introduced_version > newest[0]:
                newest_served[process_key] = (record.introduced_version, record.ended_s)
        if max(allowed) - VERSIONED_ROUTE_LIFETIME < record.introduced_version:
            check_no_rollback(verdict, record, newest_served, description)
    return verdict


def check_no_rollback(
    verdict: Verdict,
    record: RequestRecord,
    newest_served: dict[tuple[str, int], tuple[int, float]],
    description: str,
) -> None:
    """Check that a node does not return to an older configuration."""
    newest, newest_served_s = newest_served.get(
        (record.host, record.process_id), (0, 0.0)
    )
    is_sent_later = record.sent_s > newest_served_s
    if (
        is_sent_later
        and record.introduced_version == newest
        and record.status in (401, 404)
    ):
        # No newer configuration removes the route, so an older one is applied again.
        verdict.expect(False, f"{description}: refused after it was served")


def check_reads(operator: SoakOperator) -> Verdict:
    """Check reads of the configuration, and that invalid changes are refused."""
    checked = operator.reads + operator.invalid_sent
    verdict = Verdict("configuration_reads", checked=checked)
    verdict.violations += operator.stale_reads + operator.accepted_invalid
    return verdict


def check_holders(journal: Journal) -> Verdict:
    """Check that one lease holder at a time sends orders.

    Each holder has its own token, and the tokens at a target never decrease.
    """
    verdict = Verdict("one_holder")
    holders: dict[int, str] = {}
    newest_tokens: dict[str, int] = defaultdict(int)
    previous = None
    for order in journal.orders:
        holder = holders.setdefault(order.token, order.holder)
        verdict.expect(holder == order.holder, f"two holders used token {order.token}")
        verdict.expect(
            order.token >= newest_tokens[order.target_id], "a token decreased"
        )
        newest_tokens[order.target_id] = max(
            order.token, newest_tokens[order.target_id]
        )
        if previous is not None and previous.holder != order.holder:
            gap_s = order.at_s - previous.at_s
            verdict.expect(
                gap_s >= HOLDER_CHANGE_MIN_S, f"holders changed within {gap_s:.1f} s"
            )
        previous = order
    return verdict


def check_planned_stops(history: SoakHistory) -> Verdict:
    """Check that planned stops interrupt no request, unless another fault occurred."""
    verdict = Verdict("planned_stop_cuts_nothing")
    for record in history.records:
        for stop_s in history.planned_stop_times_s.get(record.host, ()):
            is_within = record.sent_s < stop_s + 1.0 and stop_s < record.ended_s
            fault_span_s = (record.sent_s - FAULT_RECOVERY_S, record.ended_s)
            has_unplanned_fault = any(
                fault_span_s[0] <= t <= fault_span_s[1]
                for t in history.unplanned_fault_times_s
            )
            if is_within and not has_unplanned_fault and not record.has_disconnected:
                was_lost = record.is_interrupted and record.was_connected
                verdict.expect(not was_lost, f"{record.attempt} at {record.host}")
    return verdict


def check_recovery(history: SoakHistory) -> Verdict:
    """Check that requests are served, by engines with current weights, at the end.

    A stream is not taken up if no target of its build is left; `check_take_ups` counts
    those.
    """
    verdict = Verdict("service_recovers")
    requests_after_recovery = [
        record
        for record in history.records
        if record.sent_s > history.recovery_deadline_s
        and not record.has_disconnected
        and not record.introduced_version
        and not record.is_take_up
    ]
    served = Counter(record.status == 200 for record in requests_after_recovery)[True]
    if requests_after_recovery:
        share = served / len(requests_after_recovery)
        verdict.expect(
            share >= MIN_SERVED_SHARE,
            f"served {served} of {len(requests_after_recovery)}",
        )
    # Engines need time to load; a version set later need not be served yet.
    rolled_out_versions = [
        change.version
        for change in history.operator.weight_version_changes
        if change.acknowledged_s + WEIGHT_ROLLOUT_S < history.recovery_deadline_s
    ]
    newest = max(rolled_out_versions, default=1)
    last_versions = {
        a.target_id: a.version for a in history.journal.arrivals if a.version
    }
    outdated = {t for t, version in last_versions.items() if version < newest}
    recently_used = {
        a.target_id
        for a in history.journal.arrivals
        if a.at_s > history.recovery_deadline_s
    }
    verdict.expect(
        not outdated & recently_used,
        f"old weights at {sorted(outdated & recently_used)}",
    )
    return verdict
