"""A short soak, and a planted fault for each of its checks."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import testtools

from harness.soak import checks
from harness.soak.__main__ import Shape, run_soak
from harness.soak.checks import Evidence, check_all
from harness.soak.clients import Record
from harness.soak.operator import Change, Named, Operator
from standins.platform_target import (
    Arrival,
    Journal,
    Order,
    get_event_count,
    make_event,
)

SEED = 4
SECONDS = 8.0
ATTEMPT = "a1"
HOST = "h1"
SEAL = "s1"


class ShortSoakTest(testtools.TestCase):
    """One seed against real processes."""

    def test_no_violation(self) -> None:
        """Every property holds, and each that a short run can show was checked."""
        evidence, faults = asyncio.run(run_soak(SEED, SECONDS, Shape(nodes=4)))
        verdicts = check_all(evidence)
        found = [v.violations[0] for v in verdicts if v.violations]
        self.assertEqual([], found, faults.names)
        checked = {verdict.name: verdict.checked for verdict in verdicts}
        for name in ("runs_are_bounded", "whole_own_answers", "streams_in_order"):
            self.assertGreater(checked[name], 0, name)


def make_record(**changes) -> Record:
    """Return an order that was served."""
    body = json.dumps({"attempt": ATTEMPT, "service": "shop-a"}).encode()
    record = Record(ATTEMPT, "order", "north", HOST, 1, 10.0, 0, True)
    values = {"status": 200, "body": body, "seal": SEAL, "ended_s": 10.1}
    return replace(record, **(values | changes))


def make_arrival(**changes) -> Arrival:
    """Return the same order at its target."""
    arrival = Arrival(
        10.05, "t1", "shop-a", ATTEMPT, "/order/x", "north", True, SEAL, 0, float("inf")
    )
    return replace(arrival, **changes)


def make_evidence(
    records: list[Record], arrivals: list[Arrival], **changes
) -> Evidence:
    """Return what a run has seen."""
    operator = Operator(SimpleNamespace(hosts=[HOST]), Random(1))
    operator.changes = [Change(1, 0.0, 1.0), Change(2, 3.0, 4.0), Change(3, 5.0, 6.0)]
    values = {
        "records": records,
        "journal": Journal(arrivals),
        "operator": operator,
        "disturbances": {},
        "stops_s": {},
        "any_fault_s": [],
        "healed_s": 100.0,
    }
    return Evidence(**(values | changes))


STREAM = "".join(make_event(ATTEMPT, n + 1) for n in range(get_event_count(ATTEMPT)))
SHORT_STREAM = STREAM[: STREAM.rindex("id:")]
MOVED = json.dumps({"attempt": ATTEMPT, "service": "shop-a"}).encode()
CUT = {"status": 0, "is_cut": True, "was_connected": True, "ended_s": 11.0}


def make_journal(**changes) -> Journal:
    """Return a journal with something wrong."""
    return replace(Journal(), **changes)


class PlantedFaultTest(testtools.TestCase):
    """Evidence with one fault, which its check must see."""

    scenarios = [
        (
            "runs_twice",
            {
                "name": "runs_are_bounded",
                "evidence": make_evidence([make_record()], [make_arrival()] * 2),
            },
        ),
        (
            "runs_unasked",
            {
                "name": "runs_are_bounded",
                "evidence": make_evidence([], [make_arrival()]),
            },
        ),
        (
            "refused_and_ran",
            {
                "name": "not_run_is_true",
                "evidence": make_evidence([make_record(status=503)], [make_arrival()]),
            },
        ),
        (
            "foreign_seal",
            {
                "name": "whole_own_answers",
                "evidence": make_evidence([make_record(seal="s2")], [make_arrival()]),
            },
        ),
        (
            "foreign_body",
            {
                "name": "whole_own_answers",
                "evidence": make_evidence(
                    [make_record(body=b'{"attempt": "a2"}')], [make_arrival()]
                ),
            },
        ),
        (
            "stream_without_its_end",
            {
                "name": "streams_in_order",
                "evidence": make_evidence(
                    [make_record(route="ask", body=SHORT_STREAM.encode())],
                    [make_arrival()],
                ),
            },
        ),
        (
            "foreign_organisation",
            {
                "name": "own_organisation",
                "evidence": make_evidence(
                    [make_record()], [make_arrival(organisation="south")]
                ),
            },
        ),
        (
            "mixed_context",
            {
                "name": "context_is_kept_apart",
                "evidence": make_evidence(
                    [], [], journal=make_journal(context_violations=["1:200"])
                ),
            },
        ),
        (
            "work_for_a_leaving_target",
            {
                "name": "leaving_target_gets_no_work",
                "evidence": make_evidence(
                    [make_record()], [make_arrival(drain_acknowledged_s=7.0)]
                ),
            },
        ),
        (
            "old_service",
            {
                "name": "configuration_in_force",
                "evidence": make_evidence(
                    [make_record(route="moved", body=MOVED)], [make_arrival()]
                ),
            },
        ),
        (
            "dropped_route_is_served",
            {
                "name": "configuration_in_force",
                "evidence": make_evidence(
                    [make_record(route="step", step=1)], [make_arrival()]
                ),
            },
        ),
        (
            "new_route_is_refused",
            {
                "name": "configuration_in_force",
                "evidence": make_evidence(
                    [make_record(route="step", step=3, status=404)], []
                ),
            },
        ),
        (
            "token_of_two_holders",
            {
                "name": "one_holder",
                "evidence": make_evidence(
                    [],
                    [],
                    journal=make_journal(
                        orders=[Order(1.0, "t1", "n1", 1), Order(9.0, "t1", "n2", 1)]
                    ),
                ),
            },
        ),
        (
            "holders_in_turn",
            {
                "name": "one_holder",
                "evidence": make_evidence(
                    [],
                    [],
                    journal=make_journal(
                        orders=[Order(1.0, "t1", "n1", 1), Order(2.0, "t2", "n2", 2)]
                    ),
                ),
            },
        ),
        (
            "falling_token",
            {
                "name": "one_holder",
                "evidence": make_evidence(
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
                "evidence": make_evidence(
                    [make_record(**CUT)], [], stops_s={HOST: [10.5]}
                ),
            },
        ),
        (
            "not_served_at_the_end",
            {
                "name": "service_recovers",
                "evidence": make_evidence([make_record(status=503)], [], healed_s=5.0),
            },
        ),
    ]

    def test_is_seen(self) -> None:
        """Just its own check fails."""
        failed = {v.name for v in check_all(self.evidence) if v.violations}
        self.assertIn(self.name, failed)

    def test_sound_evidence_passes(self) -> None:
        """Nothing is found where nothing is wrong."""
        evidence = make_evidence([make_record()], [make_arrival()])
        self.assertEqual([], [v for v in check_all(evidence) if v.violations])


class PlantedReadTest(testtools.TestCase):
    """Reads of the configuration."""

    def test_stale_read_and_invalid_change(self) -> None:
        """Either one is a violation."""
        evidence = make_evidence([], [])
        evidence.operator.stale_reads.append("h1: 1 after 2")
        evidence.operator.invalid_taken.append("h1 took version 4")
        self.assertEqual(2, len(checks.check_reads(evidence.operator).violations))

    def test_old_weights_at_the_end(self) -> None:
        """An engine that runs old weights long after newer ones were named."""
        record = make_record(route="ask", sent_s=50.0)
        arrival = make_arrival(version=1, at_s=50.0)
        evidence = make_evidence([record], [arrival], healed_s=40.0)
        evidence.operator.named = [Named(2, 1.0, 2.0)]
        self.assertEqual(1, len(checks.check_recovery(evidence).violations))
