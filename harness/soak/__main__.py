"""Runs soaks: `python -m harness.soak --seeds 1-5 --seconds 30`.

Prints one line a property and one of the run, and exits with 1 after a violation.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from dataclasses import dataclass

from standins.platform_target import Journal, PlatformTarget

from ..fault_proxy import FaultProxy
from ..history import Verdict
from .checks import Evidence, check_all
from .clients import Clients
from .faults import Faults
from .fleet import SoakFleet, make_folder
from .operator import ENGINES, ISOLATED, PLAIN, Operator

ENGINE_COUNT = 4
PLAIN_COUNT = 2
RECOVER_S = 12.0
"""Time in which service recovers after the last fault."""

CALM_S = 4.0
"""Time without any fault at the end, from which recovery is judged."""

UNPLANNED_SHARE = 0.65
"""Part of a run with all kinds of faults; planned work alone follows."""


@dataclass(frozen=True)
class Shape:
    """Size and load of a run."""

    nodes: int = 6
    disks: int = 3
    per_s: float = 60.0
    fault_pause_s: float = 1.5
    change_pause_s: float = 0.7


async def run_soak(seed: int, seconds: float, shape: Shape) -> tuple[Evidence, Faults]:
    """Run one soak and return what it has seen."""
    source = random.Random(seed)
    proxy = FaultProxy(seed)
    proxy.start()
    fleet = SoakFleet(shape.nodes, shape.disks, make_folder())
    journal = Journal()
    targets = make_targets(fleet, journal, seed)
    try:
        fleet.start()
        for target in targets:
            await target.start()
            upstream = f"127.0.0.1:{target.port}"
            link = await asyncio.to_thread(proxy.add, target.name, upstream)
            target.address = link.address
        operator = Operator(fleet, random.Random(seed + 1))
        await operator.change()
        await asyncio.to_thread(fleet.wait_configured)
        await asyncio.sleep(1.0)
        clients = Clients(fleet, operator, random.Random(seed + 2))
        faults = Faults(fleet, targets, proxy, source)
        return await play(fleet, operator, clients, faults, journal, seconds, shape)
    finally:
        for target in targets:
            await target.crash()
        await asyncio.to_thread(fleet.close)
        await asyncio.to_thread(proxy.close)


def make_targets(fleet: SoakFleet, journal: Journal, seed: int) -> list[PlatformTarget]:
    """Return the targets of all services."""
    counts = {ENGINES: ENGINE_COUNT, **dict.fromkeys(PLAIN, PLAIN_COUNT)}
    return [
        PlatformTarget(
            f"{service}-{number}",
            service,
            service == ENGINES,
            fleet.list_controls,
            journal,
            ISOLATED,
            seed + number,
        )
        for service, count in counts.items()
        for number in range(count)
    ]


async def play(
    fleet: SoakFleet,
    operator: Operator,
    clients: Clients,
    faults: Faults,
    journal: Journal,
    seconds: float,
    shape: Shape,
) -> tuple[Evidence, Faults]:
    """Play faults for a while, and then a calm end."""
    loads = [
        asyncio.create_task(clients.watch()),
        asyncio.create_task(clients.run(shape.per_s)),
        asyncio.create_task(operator.run(shape.change_pause_s)),
    ]
    unplanned_s = seconds * UNPLANNED_SHARE
    striking = asyncio.create_task(faults.run(shape.fault_pause_s, unplanned_s))
    await asyncio.sleep(seconds)
    striking.cancel()
    await faults.finish()
    healed_s = time.monotonic() + RECOVER_S
    await asyncio.sleep(RECOVER_S + CALM_S)
    for load in loads:
        load.cancel()
    results = await asyncio.gather(*loads, return_exceptions=True)
    await clients.finish()
    for result in results:
        if not isinstance(result, asyncio.CancelledError):
            raise result
    evidence = Evidence(
        clients.records,
        journal,
        operator,
        faults.disturbances,
        faults.stops_s,
        faults.any_fault_s,
        healed_s,
    )
    for node in fleet.nodes.values():
        node.check_running()
    return evidence, faults


def summarise(evidence: Evidence, faults: Faults, verdicts: list[Verdict]) -> str:
    """Return the counts of a run as one key=value line."""
    records = evidence.records
    served = sum(record.status == 200 for record in records)
    refused = sum(record.status == 503 for record in records)
    violations = sum(len(verdict.violations) for verdict in verdicts)
    return (
        f"requests={len(records)} served={served} refused={refused} "
        f"runs={sum(a.has_run for a in evidence.journal.arrivals)} "
        f"changes={len(evidence.operator.changes)} "
        f"weights={len(evidence.operator.named)} faults={len(faults.names)} "
        f"violations={violations}"
    )


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of `1-5` or `3,7`."""
    if "-" in text:
        first, _, last = text.partition("-")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",")]


def main() -> int:
    """Read the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--nodes", type=int, default=Shape.nodes)
    parser.add_argument("--disks", type=int, default=Shape.disks)
    arguments = parser.parse_args()
    shape = Shape(arguments.nodes, arguments.disks)
    has_failed = False
    for seed in parse_seeds(arguments.seeds):
        evidence, faults = asyncio.run(run_soak(seed, arguments.seconds, shape))
        verdicts = check_all(evidence)
        for verdict in verdicts:
            if verdict.violations:
                has_failed = True
                print(verdict.render(seed), flush=True)
        checked = " ".join(f"{v.name}={v.checked}" for v in verdicts)
        print(f"seed={seed} {summarise(evidence, faults, verdicts)}", flush=True)
        print(f"seed={seed} checked: {checked}", flush=True)
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
