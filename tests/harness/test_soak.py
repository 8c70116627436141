"""A short soak run, and a history with a violation for each of the soak's checks."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import testtools

from harness.soak import checks
from harness.soak.__main__ import SoakOptions, run_soak
from harness.soak.checks import check_all
from harness.soak.fault_injector import MAX_FAULT_S
from harness.soak.fleet import MEMORY_MB
from harness.soak.operator import (
    ENGINE_SERVICE,
    ConfigurationChange,
    EvacuationChange,
    SoakOperator,
    WeightVersionChange,
)
from harness.soak.request_record import RequestRecord
from harness.soak.soak_history import FAULT_RECOVERY_S, SoakHistory
from harness.soak.stream_checks import MIN_TAKE_UPS, make_events
from standins.platform_target import (
    Arrival,
    Journal,
    Order,
    ServingPeriod,
    Work,
)

SEED = 4
DURATION_S = 8.0
ATTEMPT_ID = "a1"
HOST = "h1"
SEAL = "s1"


class ShortSoakTest(testtools.TestCase):
    """A soak of one seed with real processes."""

    def test_no_violation(self) -> None:
        """No property is violated, and those that a short run can show were checked."""
        history, injector = asyncio.run(
            run_soak(SEED, DURATION_S, SoakOptions(nodes=4))
        )
        verdicts = check_all(history)
        found = [v.violations[0] for v in verdicts if v.violations]
        self.assertEqual([], found, injector.events)
        checked = {verdict.name: verdict.checked for verdict in verdicts}
        for name in (
            "runs_are_bounded",
            "whole_own_answers",
            "streams_in_order",
            "streams_of_one_build",
            "nodes_within_memory",
        ):
            self.assertGreater(checked[name], 0, name)


def make_record(**changes) -> RequestRecord:
    """Return the record of an order that was served."""
    body = json.dumps({"attempt": ATTEMPT_ID, "service": "shop-a"}).encode()
    record = RequestRecord(ATTEMPT_ID, "order", "north", HOST, 1, 10.0, 0, True)
    values = {"status": 200, "body": body, "seal": SEAL, "ended_s": 10.1}
    return replace(record, **(values | changes))


def make_arrival(**changes) -> Arrival:
    """Return the arrival of the same order at its target."""
    arrival = Arrival(
        10.05,
        "t1",
        "shop-a",
        ATTEMPT_ID,
        "/order/x",
        "north",
        True,
        SEAL,
        0,
        float("inf"),
    )
    return replace(arrival, **changes)


def make_history(
    records: list[RequestRecord], arrivals: list[Arrival], **changes
) -> SoakHistory:
    """Return a run's history with three configurations and no faults."""
    operator = SoakOperator(SimpleNamespace(hosts=[HOST]), Random(1))
    operator.configuration_changes = [
        ConfigurationChange(1, 0.0, 1.0),
        ConfigurationChange(2, 3.0, 4.0),
        ConfigurationChange(3, 5.0, 6.0),
    ]
    values = {
        "records": records,
        "journal": Journal(arrivals),
        "operator": operator,
        "node_fault_times_s": {},
        "planned_stop_times_s": {},
        "unplanned_fault_times_s": [],
        "recovery_deadline_s": 100.0,
    }
    return SoakHistory(**(values | changes))


OLD_BUILD, NEW_BUILD = "v1", "v2"
STREAM = make_events(ATTEMPT_ID, 0, OLD_BUILD)
TRUNCATED_STREAM = STREAM[: STREAM.rindex(b"id:")]
"""The stream without its last event."""

STREAM_BEGIN = STREAM[: STREAM.index(b"id: 2")]
"""The first event of the stream."""

OLD_SERVICE_BODY = json.dumps({"attempt": ATTEMPT_ID, "service": "shop-a"}).encode()
"""Answer of a service that the configuration in force no longer gives the route to."""

INTERRUPTED_FIELDS = {
    "status": 0,
    "is_interrupted": True,
    "was_connected": True,
    "ended_s": 11.0,
}


def make_stream(**changes) -> RequestRecord:
    """Return the record of a stream that broke off after its first event."""
    values = {"route": "resumed", "status": 0, "body": STREAM_BEGIN}
    return make_record(**(values | changes))


def make_take_up(**changes) -> RequestRecord:
    """Return the record of an attempt that took the same stream up, to its end."""
    values = {
        "attempt": "a2",
        "route": "resumed",
        "sent_s": 20.0,
        "ended_s": 20.1,
        "begun_by": ATTEMPT_ID,
        "after": 1,
        "body": make_events(ATTEMPT_ID, 1, OLD_BUILD),
    }
    return make_record(**(values | changes))


def make_journal(**changes) -> Journal:
    """Return an empty journal with some fields changed."""
    return replace(Journal(), **changes)


def make_evacuated_history(at_s: float) -> SoakHistory:
    """Return a history with a request at a target that is evacuated for some time."""
    history = make_history(
        [make_record(sent_s=at_s - 0.1, ended_s=at_s + 0.1)],
        [make_arrival(at_s=at_s, data_centre="dc-b")],
    )
    change = EvacuationChange("dc-b", 9.0, 10.0, 20.0, 21.0)
    history.operator.evacuation_changes.append(change)
    return history


class ViolationDetectionTest(testtools.TestCase):
    """Histories with one violation each, which the named check must report."""

    scenarios = [
        (
            "runs_twice",
            {
                "name": "runs_are_bounded",
                "history": make_history([make_record()], [make_arrival()] * 2),
            },
        ),
        (
            "runs_without_request",
            {
                "name": "runs_are_bounded",
                "history": make_history([], [make_arrival()]),
            },
        ),
        (
            "works_on_after_the_answer",
            {
                "name": "no_work_for_nobody",
                "history": make_history(
                    [make_record()],
                    [],
                    journal=make_journal(works=[Work(ATTEMPT_ID, "t1", 11.1)]),
                ),
            },
        ),
        (
            "refused_and_ran",
            {
                "name": "not_run_is_true",
                "history": make_history([make_record(status=503)], [make_arrival()]),
            },
        ),
        (
            "seal_of_another_run",
            {
                "name": "whole_own_answers",
                "history": make_history([make_record(seal="s2")], [make_arrival()]),
            },
        ),
        (
            "body_of_another_request",
            {
                "name": "whole_own_answers",
                "history": make_history(
                    [make_record(body=b'{"attempt": "a2"}')], [make_arrival()]
                ),
            },
        ),
        (
            "stream_without_its_end",
            {
                "name": "streams_in_order",
                "history": make_history(
                    [make_record(route="ask", body=TRUNCATED_STREAM)],
                    [make_arrival()],
                ),
            },
        ),
        (
            "answer_of_two_builds",
            {
                "name": "streams_of_one_build",
                "history": make_history(
                    [
                        make_stream(
                            body=STREAM_BEGIN + make_events(ATTEMPT_ID, 1, NEW_BUILD)
                        )
                    ],
                    [make_arrival()],
                ),
            },
        ),
        (
            "attempts_of_two_builds",
            {
                "name": "streams_of_one_build",
                "history": make_history(
                    [
                        make_stream(),
                        make_take_up(body=make_events(ATTEMPT_ID, 1, NEW_BUILD)),
                    ],
                    [make_arrival(), make_arrival(attempt="a2")],
                ),
            },
        ),
        (
            "gap_between_attempts",
            {
                "name": "streams_of_one_build",
                "history": make_history(
                    [
                        make_stream(),
                        make_take_up(body=make_events(ATTEMPT_ID, 2, OLD_BUILD)),
                    ],
                    [make_arrival(), make_arrival(attempt="a2")],
                ),
            },
        ),
        (
            "event_twice_over_attempts",
            {
                "name": "streams_of_one_build",
                "history": make_history(
                    [make_stream(), make_take_up(status=0, body=STREAM_BEGIN)],
                    [make_arrival(), make_arrival(attempt="a2")],
                ),
            },
        ),
        (
            "taken_up_as_a_new_stream",
            {
                "name": "streams_of_one_build",
                "history": make_history(
                    [make_stream(), make_take_up(body=make_events("a2", 0, OLD_BUILD))],
                    [make_arrival(), make_arrival(attempt="a2")],
                ),
            },
        ),
        (
            "wrong_organisation",
            {
                "name": "own_organisation",
                "history": make_history(
                    [make_record()], [make_arrival(organisation="south")]
                ),
            },
        ),
        (
            "mixed_context",
            {
                "name": "context_is_kept_apart",
                "history": make_history(
                    [], [], journal=make_journal(context_violations=["1:200"])
                ),
            },
        ),
        (
            "work_for_a_leaving_target",
            {
                "name": "leaving_target_gets_no_work",
                "history": make_history(
                    [make_record()], [make_arrival(drain_acknowledged_s=7.0)]
                ),
            },
        ),
        (
            "work_for_an_evacuated_target",
            {
                "name": "evacuated_targets_get_no_work",
                "history": make_evacuated_history(at_s=16.0),
            },
        ),
        (
            "old_service",
            {
                "name": "configuration_in_force",
                "history": make_history(
                    [make_record(route="moved", body=OLD_SERVICE_BODY)],
                    [make_arrival()],
                ),
            },
        ),
        (
            "dropped_route_is_served",
            {
                "name": "configuration_in_force",
                "history": make_history(
                    [make_record(route="step", introduced_version=1)], [make_arrival()]
                ),
            },
        ),
        (
            "new_route_is_refused",
            {
                "name": "configuration_in_force",
                "history": make_history(
                    [make_record(route="step", introduced_version=3, status=404)], []
                ),
            },
        ),
        (
            "token_of_two_holders",
            {
                "name": "one_holder",
                "history": make_history(
                    [],
                    [],
                    journal=make_journal(
                        orders=[Order(1.0, "t1", "n1", 1), Order(9.0, "t1", "n2", 1)]
                    ),
                ),
            },
        ),
        (
            "alternating_holders",
            {
                "name": "one_holder",
                "history": make_history(
                    [],
                    [],
                    journal=make_journal(
                        orders=[Order(1.0, "t1", "n1", 1), Order(2.0, "t2", "n2", 2)]
                    ),
                ),
            },
        ),
        (
            "decreasing_token",
            {
                "name": "one_holder",
                "history": make_history(
                    [],
                    [],
                    journal=make_journal(
                        orders=[Order(1.0, "t1", "n1", 2), Order(9.0, "t1", "n2", 1)]
                    ),
                ),
            },
        ),
        (
            "cut_by_a_stop",
            {
                "name": "planned_stop_cuts_nothing",
                "history": make_history(
                    [make_record(**INTERRUPTED_FIELDS)],
                    [],
                    planned_stop_times_s={HOST: [10.5]},
                ),
            },
        ),
        (
            "too_much_memory",
            {
                "name": "nodes_within_memory",
                "history": make_history(
                    [], [], peak_memory_bytes={HOST: MEMORY_MB * 1024 * 1024}
                ),
            },
        ),
        (
            "not_served_at_the_end",
            {
                "name": "service_recovers",
                "history": make_history(
                    [make_record(status=503)], [], recovery_deadline_s=5.0
                ),
            },
        ),
    ]

    def test_is_detected(self) -> None:
        """The named check reports a violation."""
        failed = {v.name for v in check_all(self.history) if v.violations}
        self.assertIn(self.name, failed)

    def test_correct_history_has_no_violation(self) -> None:
        """No check reports a violation of a correct history."""
        histories = [
            make_history([make_record()], [make_arrival()]),
            make_evacuated_history(at_s=14.0),
            make_evacuated_history(at_s=25.0),
            make_history(
                [make_stream(), make_take_up()],
                [make_arrival(), make_arrival(attempt="a2")],
            ),
        ]
        for history in histories:
            self.assertEqual([], [v for v in check_all(history) if v.violations])


def make_take_up_history(
    gone_on: int, take_ups: int, has_target: bool = True, **changes
) -> SoakHistory:
    """Return a history in which a number of attempts to take streams up went on."""
    records = [
        make_stream(attempt=f"s{n}", body=make_events(f"s{n}", 0, OLD_BUILD))
        for n in range(take_ups)
    ]
    for number in range(take_ups):
        stream = f"s{number}"
        refusal = {"status": 503, "body": b"{}", "seal": ""}
        answer = {"body": make_events(stream, 1, OLD_BUILD)}
        fields = answer if number < gone_on else refusal
        records.append(make_take_up(attempt=f"t{number}", begun_by=stream, **fields))
    ended_s = 30.0 if has_target else 20.05
    periods = [ServingPeriod(ENGINE_SERVICE, OLD_BUILD, 0.0, ended_s)]
    return make_history(
        records, [], journal=Journal(serving_periods=periods), **changes
    )


class TakeUpViolationTest(testtools.TestCase):
    """Clients take streams up, and a part of them goes on."""

    scenarios = [
        ("fewer_than_half", {"gone_on": 5, "take_ups": 12, "violations": 1}),
        ("half", {"gone_on": 6, "take_ups": 12, "violations": 0}),
        ("too_few", {"gone_on": 0, "take_ups": MIN_TAKE_UPS - 1, "violations": 0}),
        (
            "target_leaves",
            {"gone_on": 0, "take_ups": 12, "violations": 0, "has_target": False},
        ),
        (
            "node_under_a_fault",
            {"gone_on": 0, "take_ups": 12, "violations": 0, "fault_s": [18.0]},
        ),
    ]

    has_target = True
    fault_s: list[float] = []

    def test_share_is_judged(self) -> None:
        """A share below half of that of new streams is a violation."""
        history = make_take_up_history(
            self.gone_on,
            self.take_ups,
            self.has_target,
            node_fault_times_s={HOST: self.fault_s},
        )
        verdict = checks.check_take_ups(history)
        self.assertEqual(self.violations, len(verdict.violations))


class ReadAndWeightViolationTest(testtools.TestCase):
    """Stale reads, accepted invalid changes, and outdated weights."""

    def test_stale_read_and_invalid_change(self) -> None:
        """A stale read and an accepted invalid change are violations."""
        history = make_history([], [])
        history.operator.stale_reads.append("h1: 1 after 2")
        history.operator.accepted_invalid.append("h1 accepted invalid version 4")
        self.assertEqual(2, len(checks.check_reads(history.operator).violations))

    def test_old_weights_at_the_end(self) -> None:
        """An engine that serves old weights long after a newer version was set."""
        record = make_record(route="ask", sent_s=50.0)
        arrival = make_arrival(version=1, at_s=50.0)
        history = make_history([record], [arrival], recovery_deadline_s=40.0)
        history.operator.weight_version_changes = [WeightVersionChange(2, 1.0, 2.0)]
        self.assertEqual(1, len(checks.check_recovery(history).violations))


class SuspendedNodeTest(testtools.TestCase):
    """A request that waited at a suspended node for longer than faults are excused."""

    def test_span_of_the_request_counts(self) -> None:
        """It is excused if the node is resumed before it answers, and only then."""
        history = make_history(
            [], [], node_fault_times_s={HOST: [10.0, 10.0 + MAX_FAULT_S]}
        )
        sent_s, resumed_s = 13.5, 10.0 + MAX_FAULT_S
        self.assertTrue(history.is_fault_free(HOST, sent_s, resumed_s - 0.1))
        self.assertFalse(history.is_fault_free(HOST, sent_s, resumed_s + 0.1))
        later_s = resumed_s + FAULT_RECOVERY_S + 0.1
        self.assertTrue(history.is_fault_free(HOST, later_s, later_s + 1.0))
