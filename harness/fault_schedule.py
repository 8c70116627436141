"""Random schedules of faults, and their injection into a cluster."""

from __future__ import annotations

import asyncio
import random
import shutil
import time
from dataclasses import dataclass, field

from standins.engine import CRASH_MARKER

from .caller import Caller
from .cluster import Cluster
from .deployment import get_organisation
from .load import make_text

FIRST_FAULT_S = 1.0
MIN_FAULT_INTERVAL_S = 0.6
MAX_FAULT_INTERVAL_S = 2.6
SIMULTANEOUS_SHARE = 0.25
"""Probability that two faults begin at the same time."""

REPEAT_SHARE = 0.15
"""Probability that a fault is repeated on the same process."""

REPEAT_DELAY_S = 0.4
"""Time from the end of a fault to its repetition."""

LOST_DISK_INTERVAL_S = 40.0
"""Minimum time between two lost disks; a replica needs it to rejoin the log."""

FAULT_KINDS = (
    "kill_control",
    "kill_entry",
    "kill_engine",
    "kill_store",
    "kill_service",
    "freeze_control",
    "freeze_entry",
    "isolate_control",
    "isolate_entry",
    "cut_one_way",
    "delay_links",
    "reset_links",
    "truncate_engine",
    "slow_store_link",
    "lost_disk",
    "stop_entry",
    "leave_target",
    "poison",
)


@dataclass(frozen=True)
class Fault:
    """A fault of a schedule."""

    at_s: float
    """Time from the start of the schedule."""
    kind: str
    victim: str
    duration_s: float

    def render(self) -> str:
        """Return the fault as one line of key=value pairs."""
        return (
            f"fault={self.kind} at_s={self.at_s:.2f} victim={self.victim} "
            f"duration_s={self.duration_s:.2f}"
        )


def choose_victim(rng: random.Random, kind: str, cluster: Cluster) -> str:
    """Return a random process that a kind of fault can affect."""
    targets = [n for n in cluster.http_addresses if n not in cluster.entries]
    groups = {
        "control": cluster.controls,
        "lost": cluster.controls,
        "entry": cluster.entries,
        "engine": [n for n in targets if n.startswith("engine")],
        "store": [n for n in targets if n.startswith("store")],
        "service": [n for n in targets if n.startswith("service")],
    }
    groups["target"] = groups["engine"] + groups["service"]
    for word, names in groups.items():
        if word in kind:
            return rng.choice(names)
    return rng.choice(cluster.controls + cluster.entries)


def make_schedule(cluster: Cluster, seed: int, duration_s: float) -> list[Fault]:
    """Return a random schedule; some faults occur in pairs, some are repeated."""
    rng = random.Random(seed)
    faults = []
    at_s = FIRST_FAULT_S
    has_poison = False
    disk_lost_at_s = float("-inf")
    while at_s < duration_s:
        for _ in range(1 + (rng.random() < SIMULTANEOUS_SHARE)):
            kind = rng.choice(FAULT_KINDS)
            victim = choose_victim(rng, kind, cluster)
            fault = Fault(at_s, kind, victim, rng.uniform(0.3, 4.5))
            # The log does not survive the loss of two of three disks.
            is_second_lost_disk = (
                kind == "lost_disk" and at_s - disk_lost_at_s < LOST_DISK_INTERVAL_S
            )
            if is_second_lost_disk or (kind == "poison" and has_poison):
                continue
            has_poison = has_poison or kind == "poison"
            disk_lost_at_s = at_s if kind == "lost_disk" else disk_lost_at_s
            faults.append(fault)
            if rng.random() < REPEAT_SHARE and kind not in ("lost_disk", "poison"):
                repeat_at_s = at_s + fault.duration_s + REPEAT_DELAY_S
                faults.append(Fault(repeat_at_s, kind, victim, fault.duration_s))
        at_s += rng.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S)
    return sorted(faults, key=lambda fault: fault.at_s)


@dataclass
class PlannedStop:
    """A planned stop of an entry."""

    entry: str
    """HTTP address of the entry."""
    started_s: float
    ended_s: float
    has_other_fault: bool = False
    """Whether another fault was scheduled for the entry at the time."""


@dataclass
class FaultInjector:
    """Injects the faults of a schedule into a cluster.

    Args:
        cluster: The cluster.
        schedule: The faults.
    """

    cluster: Cluster
    schedule: list[Fault]
    active_faults: dict[str, str] = field(default_factory=dict)
    """Kind of the current fault of each affected process."""
    planned_stops: list[PlannedStop] = field(default_factory=list)
    engine_crashes: int = 0
    """Number of engines that the poison request crashed."""
    poison_answers: list = field(default_factory=list)
    skipped: int = 0
    """Number of faults whose victim was under another fault."""

    async def run(self) -> None:
        """Inject every fault at its time and wait until all have ended."""
        started_s = time.monotonic()
        supervisor = asyncio.create_task(self.restart_crashed_engines())
        fault_tasks = []
        for fault in self.schedule:
            await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
            fault_tasks.append(asyncio.create_task(self.apply(fault)))
        await asyncio.gather(*fault_tasks)
        supervisor.cancel()
        await asyncio.to_thread(self.cluster.proxy.heal_all)

    async def restart_crashed_engines(self) -> None:
        """Count and restart engines that the poison request crashed."""
        engines = [n for n in self.cluster.processes if n.startswith("engine")]
        while True:
            await asyncio.sleep(0.2)
            for name in engines:
                process = self.cluster.processes[name]
                if process.is_running or name in self.active_faults:
                    continue
                # The poison request makes an engine exit with code 1.
                self.engine_crashes += process.popen.returncode == 1
                process.start()

    async def apply(self, fault: Fault) -> None:
        """Inject a fault, unless its victim is under another one."""
        if fault.victim in self.active_faults:
            self.skipped += 1
            for stop in self.planned_stops:
                stop.has_other_fault |= stop.entry == fault.victim
            return
        self.active_faults[fault.victim] = fault.kind
        try:
            await getattr(self, f"on_{self.get_handler_name(fault.kind)}")(fault)
        finally:
            del self.active_faults[fault.victim]

    def get_handler_name(self, kind: str) -> str:
        """Return the name of the method for a kind of fault, without `on_`."""
        action = kind.partition("_")[0]
        return action if action in ("kill", "freeze", "isolate") else kind

    async def on_kill(self, fault: Fault) -> None:
        """Kill a process and start it again."""
        process = self.cluster.processes[fault.victim]
        await asyncio.to_thread(process.kill)
        await asyncio.sleep(fault.duration_s)
        process.start()

    async def on_freeze(self, fault: Fault) -> None:
        """Suspend a process for a while."""
        process = self.cluster.processes[fault.victim]
        process.freeze()
        await asyncio.sleep(fault.duration_s)
        process.thaw()

    async def on_isolate(self, fault: Fault) -> None:
        """Drop all data on a process's links for a while."""
        await asyncio.to_thread(self.cluster.isolate, fault.victim)
        await asyncio.sleep(fault.duration_s)
        await asyncio.to_thread(self.cluster.rejoin, fault.victim)

    async def on_cut_one_way(self, fault: Fault) -> None:
        """Drop answers on a process's links for a while; requests still pass."""
        links = self.cluster.list_links(fault.victim)
        for link in links:
            self.cluster.proxy.set_faults(link, is_cut_backward=True)
        await asyncio.sleep(fault.duration_s)
        for link in links:
            self.cluster.proxy.heal(link)

    async def on_delay_links(self, fault: Fault) -> None:
        """Delay all data on a process's links for a while."""
        links = self.cluster.list_links(fault.victim)
        for link in links:
            self.cluster.proxy.set_faults(link, delay_s=0.05, jitter_s=0.2)
        await asyncio.sleep(fault.duration_s)
        for link in links:
            self.cluster.proxy.set_faults(link, delay_s=0.0, jitter_s=0.0)

    async def on_reset_links(self, fault: Fault) -> None:
        """Reset all connections of a process."""
        for link in self.cluster.list_links(fault.victim):
            self.cluster.proxy.reset(link)

    async def on_truncate_engine(self, fault: Fault) -> None:
        """Truncate an engine's answers for a while."""
        link = f"nodes>{fault.victim}"
        self.cluster.proxy.set_faults(link, truncate_after=700)
        await asyncio.sleep(fault.duration_s)
        self.cluster.proxy.set_faults(link, truncate_after=None)

    async def on_slow_store_link(self, fault: Fault) -> None:
        """Limit a store's link to a tenth of its bandwidth for a while."""
        rate = self.cluster.deployment.link_bytes_per_s / 10
        link = f"nodes>{fault.victim}"
        self.cluster.proxy.set_faults(link, bytes_per_s=rate)
        await asyncio.sleep(fault.duration_s)
        self.cluster.proxy.set_faults(link, bytes_per_s=float("inf"))

    async def on_lost_disk(self, fault: Fault) -> None:
        """Kill a control replica, remove its data, and start it again."""
        process = self.cluster.processes[fault.victim]
        await asyncio.to_thread(process.kill)
        shutil.rmtree(self.cluster.get_data_folder(fault.victim))
        process.start()
        await asyncio.sleep(fault.duration_s)

    async def on_stop_entry(self, fault: Fault) -> None:
        """Stop an entry gracefully and start it again."""
        process = self.cluster.processes[fault.victim]
        address = self.cluster.http_addresses[fault.victim]
        stop = PlannedStop(address, time.monotonic(), float("inf"))
        self.planned_stops.append(stop)
        await asyncio.to_thread(process.stop)
        stop.ended_s = time.monotonic()
        process.start()

    async def on_leave_target(self, fault: Fault) -> None:
        """Stop a target gracefully and start it again."""
        process = self.cluster.processes[fault.victim]
        await asyncio.to_thread(process.stop)
        process.start()

    async def on_poison(self, fault: Fault) -> None:
        """Send a request that crashes engines through every entry, three times."""
        deployment = self.cluster.deployment
        caller = Caller(deployment, get_organisation(deployment, 9))
        prompt = make_text("poison", 400) + CRASH_MARKER
        for _ in range(3):
            self.poison_answers += await asyncio.gather(
                *(
                    caller.send_completion(
                        self.cluster.http_addresses[name], prompt, 4, 8000
                    )
                    for name in self.cluster.entries
                )
            )
            await asyncio.sleep(0.5)
