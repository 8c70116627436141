"""Runs the soak test: `python -m harness.soak --seeds 1-5 --seconds 30`.

Prints one line for each violated property and two summary lines for each seed.
Exits with 1 if any property is violated.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from dataclasses import dataclass, replace

from standins.platform_target import Journal, PlatformTarget

from ..fault_proxy import FaultProxy
from ..history import Verdict
from .checks import check_all
from .clients import SoakClients
from .fault_injector import SoakFaultInjector
from .fleet import SoakFleet, make_run_folder
from .floods import SoakFloods
from .node_outages import NodeOutages
from .operator import (
    ENGINE_SERVICE,
    EVACUATED_DATA_CENTRE,
    ISOLATED_ORGANISATIONS,
    PLAIN_SERVICES,
    SoakOperator,
)
from .releases import SPARE_COUNT, BuildReleases
from .soak_history import SoakHistory

ENGINE_TARGET_COUNT = 4
"""Number of engines in service."""

PLAIN_TARGET_COUNT = 2
RECOVERY_S = 12.0
"""Time that the fleet has to recover after the last fault."""

FAULT_FREE_S = 4.0
"""Time without faults after the recovery; recovery is judged by its requests."""

UNPLANNED_SHARE = 0.65
"""Part of a run in which all kinds of faults occur; only planned ones follow."""


SLOW_SHARE = 0.05
"""Share of the requests that targets are slow to answer, with repeated sends."""


@dataclass(frozen=True)
class SoakOptions:
    """Fleet size, request rate and fault rate of a run."""

    nodes: int = 6
    disk_nodes: int = 3
    requests_per_s: float = 60.0
    fault_interval_s: float = 1.5
    change_interval_s: float = 0.7
    unplanned_share: float = UNPLANNED_SHARE
    repeated_sends_share: float = 0.0
    """Late requests that are sent to a second target, at most; targets are then slow
    for a share of the requests."""


async def run_soak(
    seed: int, seconds: float, options: SoakOptions
) -> tuple[SoakHistory, SoakFaultInjector]:
    """Run one soak; return its history and the fault injector."""
    rng = random.Random(seed)
    proxy = FaultProxy(seed)
    proxy.start()
    fleet = SoakFleet(
        options.nodes,
        options.disk_nodes,
        make_run_folder(),
        options.repeated_sends_share,
    )
    journal = Journal()
    targets = make_targets(fleet, journal, seed)
    if options.repeated_sends_share:
        for target in targets:
            target.slow_share = SLOW_SHARE
    try:
        fleet.start()
        for target in targets:
            await target.start()
            upstream = f"127.0.0.1:{target.port}"
            link = await asyncio.to_thread(proxy.add_link, target.name, upstream)
            target.address = link.address
        releases = BuildReleases(targets[SPARE_COUNT:], targets[:SPARE_COUNT])
        for target in releases.spares:
            await target.crash()
        operator = SoakOperator(fleet, random.Random(seed + 1))
        await operator.change_configuration()
        await asyncio.to_thread(fleet.wait_until_configured)
        await asyncio.sleep(1.0)
        clients = SoakClients(fleet, operator, random.Random(seed + 2))
        injector = SoakFaultInjector(fleet, releases, proxy, rng)
        history, injector = await run_phases(
            fleet, operator, clients, injector, journal, seconds, options
        )
        hedged = " ".join(f"{k}={n}" for k, n in fleet.count_hedged().items())
        print(f"seed={seed} second sends: {hedged or 0}", flush=True)
        has_violation = any(verdict.violations for verdict in check_all(history))
    finally:
        for target in targets:
            await target.crash()
        await asyncio.to_thread(fleet.close)
        await asyncio.to_thread(proxy.close)
    if has_violation:
        print(f"seed={seed} output kept in {fleet.folder.name}", flush=True)
    else:
        fleet.remove_files()
    return history, injector


def make_targets(fleet: SoakFleet, journal: Journal, seed: int) -> list[PlatformTarget]:
    """Return the targets of all services, not yet started, the spare ones first."""
    counts = {
        ENGINE_SERVICE: ENGINE_TARGET_COUNT + SPARE_COUNT,
        **dict.fromkeys(PLAIN_SERVICES, PLAIN_TARGET_COUNT),
    }
    targets = [
        PlatformTarget(
            f"{service}-{number}",
            service,
            service == ENGINE_SERVICE,
            fleet.list_control_addresses,
            journal,
            ISOLATED_ORGANISATIONS,
            seed + number,
        )
        for service, count in counts.items()
        for number in range(count)
    ]
    for target in targets:
        if int(target.name.rpartition("-")[2]) % 2:
            target.data_centre = EVACUATED_DATA_CENTRE
    return targets


async def run_phases(
    fleet: SoakFleet,
    operator: SoakOperator,
    clients: SoakClients,
    injector: SoakFaultInjector,
    journal: Journal,
    seconds: float,
    options: SoakOptions,
) -> tuple[SoakHistory, SoakFaultInjector]:
    """Run load under faults, then load without faults, and collect the history."""
    load_tasks = [
        asyncio.create_task(clients.probe_nodes()),
        asyncio.create_task(clients.run(options.requests_per_s)),
        asyncio.create_task(operator.run(options.change_interval_s)),
    ]
    unplanned_s = seconds * options.unplanned_share
    fault_task = asyncio.create_task(
        injector.run(options.fault_interval_s, unplanned_s)
    )
    evacuation_task = asyncio.create_task(operator.run_evacuations(seconds))
    outage_task = asyncio.create_task(NodeOutages(injector).run(unplanned_s))
    floods = SoakFloods(injector)
    flood_task = asyncio.create_task(floods.run(unplanned_s))
    await asyncio.sleep(seconds)
    fault_task.cancel()
    await outage_task
    await flood_task
    await injector.finish()
    await evacuation_task
    recovery_deadline_s = time.monotonic() + RECOVERY_S
    await asyncio.sleep(RECOVERY_S + FAULT_FREE_S)
    for load_task in load_tasks:
        load_task.cancel()
    results = await asyncio.gather(*load_tasks, return_exceptions=True)
    await clients.finish()
    for result in results:
        if not isinstance(result, asyncio.CancelledError):
            raise result
    history = SoakHistory(
        clients.records,
        journal,
        operator,
        injector.node_fault_times_s,
        injector.planned_stop_times_s,
        injector.unplanned_fault_times_s,
        recovery_deadline_s,
        floods.peak_memory_bytes,
    )
    floods.measure()
    for node in fleet.nodes.values():
        node.check_running()
    return history, injector


def summarise(
    history: SoakHistory, injector: SoakFaultInjector, verdicts: list[Verdict]
) -> str:
    """Return the counts of a run as one line of key=value pairs."""
    records = history.records
    served = sum(record.status == 200 for record in records)
    refused = sum(record.status == 503 for record in records)
    take_ups = [record for record in records if record.is_take_up]
    violations = sum(len(verdict.violations) for verdict in verdicts)
    return (
        f"requests={len(records)} served={served} refused={refused} "
        f"runs={sum(a.has_run for a in history.journal.arrivals)} "
        f"changes={len(history.operator.configuration_changes)} "
        f"evacuations={len(history.operator.evacuation_changes)} "
        f"weights={len(history.operator.weight_version_changes)} "
        f"builds={injector.releases.newest} outages={injector.outages} "
        f"take_ups={len(take_ups)} went_on={sum(r.goes_on for r in take_ups)} "
        f"faults={len(injector.events)} "
        f"violations={violations}"
    )


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of `1-5` or `3,7`."""
    if "-" in text:
        first, _, last = text.partition("-")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",")]


def main() -> int:
    """Run the soaks that the command line describes; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--nodes", type=int, default=SoakOptions.nodes)
    parser.add_argument("--disks", type=int, default=SoakOptions.disk_nodes)
    parser.add_argument(
        "--planned-only",
        action="store_true",
        help="restarts, reloads, releases and changes only, in quick succession",
    )
    parser.add_argument(
        "--repeated-sends-share",
        type=float,
        default=SoakOptions.repeated_sends_share,
        help="late requests that nodes send to a second target, for each request",
    )
    arguments = parser.parse_args()
    options = SoakOptions(
        arguments.nodes,
        arguments.disks,
        repeated_sends_share=arguments.repeated_sends_share,
    )
    if arguments.planned_only:
        options = replace(
            options,
            unplanned_share=0.0,
            fault_interval_s=options.fault_interval_s / 3,
            change_interval_s=options.change_interval_s / 2,
        )
    has_failed = False
    for seed in parse_seeds(arguments.seeds):
        history, injector = asyncio.run(run_soak(seed, arguments.seconds, options))
        verdicts = check_all(history)
        for verdict in verdicts:
            if verdict.violations:
                has_failed = True
                print(verdict.render(seed), flush=True)
        checked = " ".join(f"{v.name}={v.checked}" for v in verdicts)
        print(f"seed={seed} {summarise(history, injector, verdicts)}", flush=True)
        print(f"seed={seed} checked: {checked}", flush=True)
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
