"""Runs a random schedule of faults under load and checks properties of the system.

Prints one line for each property: how often it was checked, its violations, and the
seed. After a violation it searches for the shortest failing prefix of the schedule.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import sys
import time
from dataclasses import dataclass, replace

from .cluster import Cluster, ClusterOptions
from .deployment import DEPLOYMENTS, Deployment
from .fault_schedule import Fault, FaultInjector, make_schedule
from .history import History, Verdict
from .key_rotation import KeyRotation
from .load import LoadGenerator, LoadShape
from .weight_rollouts import WeightRollouts

LATE_REQUESTS_PATTERN = re.compile(r"late_requests=(\d+)")
"""Matches the count that a stopped engine prints: requests that arrived long after it
began to leave."""

SETTLE_S = 2.0
"""Shortest time of load after the last fault."""

MAX_ENGINE_CRASHES = 2
"""Number of engines that one poison request may crash."""


@dataclass
class Outcome:
    """Result of a run."""

    verdicts: list[Verdict]
    history: History
    schedule: list[Fault]
    key_rotation: KeyRotation

    @property
    def violations(self) -> int:
        """Number of violations of all properties."""
        return sum(len(verdict.violations) for verdict in self.verdicts)


def check_planned_stops(history: History, injector: FaultInjector) -> Verdict:
    """Check that planned stops interrupt no request."""
    verdict = Verdict("planned_stop_cuts_nothing")
    for stop in injector.planned_stops:
        if stop.has_other_fault:
            continue
        for record in history.records:
            ended_s = record.started_s + record.answer.total_s
            is_within = record.started_s < stop.started_s < ended_s
            if record.entry == stop.entry and is_within:
                is_interrupted = record.answer.code == "no_answer"
                verdict.expect(
                    not is_interrupted,
                    f"a {record.kind} was interrupted at {stop.entry}",
                )
    return verdict


def check_targets(cluster: Cluster, injector: FaultInjector) -> list[Verdict]:
    """Check that leaving targets get no late requests, and that poison is bounded.

    The poison request may crash at most `MAX_ENGINE_CRASHES` engines, and it gets no
    complete answer.
    """
    leaving_verdict = Verdict("leaving_target_gets_no_work")
    for name, process in cluster.processes.items():
        if name.startswith("engine"):
            for count in LATE_REQUESTS_PATTERN.findall(process.read_output()):
                leaving_verdict.expect(
                    count == "0", f"{name} got {count} late requests"
                )
    for journal in cluster.folder.glob("*.journal"):
        for line in journal.read_text().splitlines():
            leaving_verdict.expect(
                not line.endswith(" late"), f"{journal.stem}: {line}"
            )
    poison_verdict = Verdict("poison_is_bounded")
    if injector.poison_answers:
        count = injector.engine_crashes
        poison_verdict.expect(count <= MAX_ENGINE_CRASHES, f"{count} engines crashed")
        for answer in injector.poison_answers:
            poison_verdict.expect(
                not answer.is_complete, "the poison request got a complete answer"
            )
    return [leaving_verdict, poison_verdict]


async def run_schedule(
    cluster: Cluster, schedule: list[Fault], seed: int, seconds: float
) -> Outcome:
    """Inject a schedule's faults under load and check the properties."""
    load = LoadGenerator(cluster, LoadShape(), seed)
    key_rotation = KeyRotation(cluster, seed)
    injector = FaultInjector(cluster, schedule)
    load.start()
    key_rotation_task = asyncio.create_task(key_rotation.run())
    rollouts = WeightRollouts(cluster)
    rollout_task = asyncio.create_task(rollouts.run())
    started_s = time.monotonic()
    await injector.run()
    await asyncio.sleep(max(SETTLE_S, started_s + seconds - time.monotonic()))
    key_rotation.stop_requested = True
    rollouts.stop_requested.set()
    history = await load.stop()
    await key_rotation_task
    await rollout_task
    verdicts = [
        history.check_answers(rollouts.versions),
        *history.check_orders(cluster),
        *check_targets(cluster, injector),
        check_planned_stops(history, injector),
        key_rotation.in_force,
        key_rotation.exactly_once,
    ]
    return Outcome(verdicts, history, schedule, key_rotation)


def run_once(
    deployment: Deployment, seed: int, seconds: float, length: int | None = None
) -> Outcome:
    """Run the schedule of a seed, or its first `length` faults, on a new cluster."""
    with Cluster(
        deployment, ClusterOptions(seed=seed, snapshot_entries=300)
    ) as cluster:
        schedule = make_schedule(cluster, seed, seconds)[:length]
        return asyncio.run(run_schedule(cluster, schedule, seed, seconds))


def find_failing_prefix(
    deployment: Deployment, seed: int, seconds: float, outcome: Outcome
) -> list[Fault]:
    """Return the shortest prefix of a schedule that failed, by binary search."""
    failing = outcome.schedule
    low, high = 0, len(failing)
    while low < high:
        middle = (low + high) // 2
        if run_once(deployment, seed, seconds, middle).violations:
            failing = failing[:middle]
            high = middle
        else:
            low = middle + 1
    return failing


def print_outcome(outcome: Outcome, deployment: Deployment, seed: int) -> None:
    """Print one line for each property and one with counts."""
    for verdict in outcome.verdicts:
        print(f"deployment={deployment.name} {verdict.render(seed)}", flush=True)
    print(
        f"deployment={deployment.name} seed={seed} faults={len(outcome.schedule)} "
        f"violations={outcome.violations} {outcome.history.summarise()} "
        f"changes={outcome.key_rotation.changes} "
        f"confirmed_in_5_s={outcome.key_rotation.confirmed_changes}",
        flush=True,
    )


def main() -> int:
    """Run the schedule that the command line describes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="parafina")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--no-shrink", action="store_true")
    arguments = parser.parse_args()
    deployment = replace(DEPLOYMENTS[arguments.deployment], controls=3)
    outcome = run_once(deployment, arguments.seed, arguments.seconds)
    print_outcome(outcome, deployment, arguments.seed)
    if not outcome.violations:
        return 0
    if not arguments.no_shrink:
        print("looking for the smallest failing prefix", flush=True)
        for fault in find_failing_prefix(
            deployment, arguments.seed, arguments.seconds, outcome
        ):
            print(fault.render())
    return 1


if __name__ == "__main__":
    sys.exit(main())
