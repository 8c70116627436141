"""The faults of a soak, drawn from a seed, singly, in series and overlapping."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from standins.platform_target import PlatformTarget

from ..fault_proxy import FaultProxy
from .fleet import SoakFleet

TARGET_DRAIN_S = 2.0
MAX_FAULT_S = 4.0
CATCH_UP_S = 4.0
"""Time after which a node with a disk that was lost counts as back."""


@dataclass
class SoakFaultInjector:
    """Strikes nodes and targets, and notes when."""

    fleet: SoakFleet
    targets: list[PlatformTarget]
    proxy: FaultProxy
    random: Random
    node_fault_times_s: dict[str, list[float]] = field(default_factory=dict)
    planned_stop_times_s: dict[str, list[float]] = field(default_factory=dict)
    unplanned_fault_times_s: list[float] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    affected: set[str] = field(default_factory=set)
    """Nodes, targets and links that a fault has now."""
    disk_nodes_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    """One node with a disk is lost at a time."""
    tasks: set[asyncio.Task] = field(default_factory=set)

    def record_event(self, name: str, host: str = "", is_planned: bool = False) -> None:
        """Note that a fault strikes or ends."""
        now_s = time.monotonic()
        if host:
            self.node_fault_times_s.setdefault(host, []).append(now_s)
            self.fleet.record_fault(host)
        if not is_planned:
            self.unplanned_fault_times_s.append(now_s)
        self.events.append(f"{name} {host}".strip())

    async def run(self, mean_interval_s: float, unplanned_s: float) -> None:
        """Strike at random until cancelled, often before the last fault ended.

        Args:
            mean_interval_s: Mean time between two faults.
            unplanned_s: Time after which only planned work is done.
        """
        planned_faults = [self.stop_node, self.replace_target, self.change_seeds]
        all_faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_node,
            self.freeze_node,
            self.stop_node,
            self.wipe_node,
            self.kill_disk_nodes,
            self.change_seeds,
            self.crash_target,
            self.replace_target,
            self.impair_link,
            self.impair_link,
            self.inject_target_errors,
            self.report_service_full,
        ]
        planned_from_s = time.monotonic() + unplanned_s
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.8) * mean_interval_s)
            is_planned = time.monotonic() > planned_from_s
            inject_fault = self.random.choice(
                planned_faults if is_planned else all_faults
            )
            task = asyncio.create_task(inject_fault())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Let every fault end."""
        while self.tasks:
            done, _ = await asyncio.wait(set(self.tasks))
            for task in done:
                task.result()
        self.proxy.heal_all()

    def reserve(self, names: list[str]) -> str:
        """Return something that no fault has now, or an empty string."""
        free = [name for name in names if name not in self.affected]
        if not free:
            return ""
        name = self.random.choice(free)
        self.affected.add(name)
        return name

    def choose_duration_s(self) -> float:
        """Return how long a fault lasts."""
        return self.random.uniform(0.3, MAX_FAULT_S)

    async def disrupt_node(
        self, host: str, inject_fault: Callable[[], Awaitable[None]]
    ) -> None:
        """Lose a node for a while; those with a disk one after the other."""
        try:
            if not self.fleet.has_disk(host):
                await inject_fault()
                return
            async with self.disk_nodes_lock:
                await inject_fault()
                await asyncio.sleep(CATCH_UP_S)
        finally:
            self.affected.discard(host)

    async def kill_node(self) -> None:
        """Kill a node and start it again."""
        if host := self.reserve(self.fleet.hosts):
            await self.disrupt_node(host, lambda: self.kill_and_restart(host, False))

    async def wipe_node(self) -> None:
        """Kill a node with a disk and empty it."""
        if host := self.reserve(self.fleet.hosts[: self.fleet.disk_node_count]):
            await self.disrupt_node(host, lambda: self.kill_and_restart(host, True))

    async def kill_and_restart(self, host: str, is_wiped: bool) -> None:
        """Kill a node, empty its disk perhaps, and start it again."""
        self.record_event("wipe" if is_wiped else "kill", host)
        await asyncio.to_thread(self.fleet.kill, host)
        await asyncio.sleep(self.choose_duration_s())
        if is_wiped:
            self.fleet.wipe_disk(host)
        self.fleet.restart(host)
        self.record_event("restart", host)

    async def freeze_node(self) -> None:
        """Stop a node's time for a while."""
        if host := self.reserve(self.fleet.hosts):
            await self.disrupt_node(host, lambda: self.freeze_and_thaw(host))

    async def freeze_and_thaw(self, host: str) -> None:
        """Stop a node's time and let it go on."""
        self.record_event("freeze", host)
        self.fleet.freeze(host)
        await asyncio.sleep(self.choose_duration_s())
        self.fleet.thaw(host)
        self.record_event("thaw", host)

    async def stop_node(self) -> None:
        """Stop a node as planned and start it again."""
        if host := self.reserve(self.fleet.hosts):
            await self.disrupt_node(host, lambda: self.stop_and_restart(host))

    async def stop_and_restart(self, host: str) -> None:
        """Stop a node gracefully and start it again."""
        self.planned_stop_times_s.setdefault(host, []).append(time.monotonic())
        self.record_event("stop", host, is_planned=True)
        node = self.fleet.nodes[host]
        await asyncio.to_thread(node.stop)
        self.fleet.restart(host)
        self.record_event("restart", host, is_planned=True)

    async def kill_disk_nodes(self) -> None:
        """Kill all nodes with a disk at once; their disks stay."""
        hosts = self.fleet.hosts[: self.fleet.disk_node_count]
        if self.affected & set(hosts) or self.disk_nodes_lock.locked():
            return
        self.affected |= set(hosts)
        async with self.disk_nodes_lock:
            for host in hosts:
                self.record_event("kill", host)
                await asyncio.to_thread(self.fleet.kill, host)
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            for host in hosts:
                self.fleet.restart(host)
                self.record_event("restart", host)
            await asyncio.sleep(CATCH_UP_S)
            self.affected -= set(hosts)

    async def change_seeds(self) -> None:
        """Name other seeds in the settings of all nodes, half of them signalled."""
        self.record_event("seeds", is_planned=True)
        self.fleet.seeds = self.random.sample(self.fleet.hosts, 3)
        for host, node in self.fleet.nodes.items():
            self.fleet.write_settings(host)
            if self.random.random() < 0.5 and node.is_running:
                node.signal(signal.SIGHUP)

    async def crash_target(self) -> None:
        """End a target at once, and start it again at its address."""
        if target := self.reserve_target():
            self.record_event(f"crash {target.name}")
            await target.crash()
            await asyncio.sleep(self.choose_duration_s())
            await target.start()
            self.record_event(f"started {target.name}")
            self.affected.discard(target.name)

    async def replace_target(self) -> None:
        """Let a target leave as planned, and a new one take its place."""
        if target := self.reserve_target():
            self.record_event(f"leave {target.name}", is_planned=True)
            await target.leave(TARGET_DRAIN_S)
            await target.start()
            self.affected.discard(target.name)

    async def inject_target_errors(self) -> None:
        """Let a target fail part of its requests."""
        if target := self.reserve_target():
            self.record_event(f"fail {target.name}")
            target.failure_share = 0.5
            await asyncio.sleep(self.choose_duration_s())
            target.failure_share = 0.0
            self.record_event(f"heal {target.name}")
            self.affected.discard(target.name)

    async def report_service_full(self) -> None:
        """Let all targets of a service say that they are full."""
        service = self.random.choice(sorted({t.service for t in self.targets}))
        if not self.reserve([f"full {service}"]):
            return
        self.record_event(f"full {service}")
        full_targets = [target for target in self.targets if target.service == service]
        for target in full_targets:
            target.is_full = True
        await asyncio.sleep(self.choose_duration_s() / 2)
        for target in full_targets:
            target.is_full = False
        self.record_event(f"free {service}")
        self.affected.discard(f"full {service}")

    async def impair_link(self) -> None:
        """Harm the link in front of a target."""
        target = self.reserve_target()
        if target is None:
            return
        impairments: list[dict] = [
            {"delay_s": 0.1, "jitter_s": 0.2},
            {"is_cut_forward": True},
            {"is_cut_backward": True},
            {"is_cut_forward": True, "is_cut_backward": True},
            {"refuse": True},
            {"truncate_after": self.random.randrange(50, 400)},
            {"drop_answers": 5},
        ]
        impairment = self.random.choice(impairments)
        self.record_event(f"link {target.name} {impairment}")
        await asyncio.to_thread(self.proxy.set_faults, target.name, **impairment)
        await asyncio.sleep(self.choose_duration_s())
        await asyncio.to_thread(self.proxy.heal, target.name)
        self.record_event(f"healed {target.name}")
        self.affected.discard(target.name)

    def reserve_target(self) -> PlatformTarget | None:
        """Return a target that no fault has now; half of each service stays."""
        by_service: dict[str, int] = defaultdict(int)
        for target in self.targets:
            by_service[target.service] += target.name in self.affected
        free = [
            target.name
            for target in self.targets
            if by_service[target.service] * 2 + 2
            <= sum(t.service == target.service for t in self.targets)
        ]
        name = self.reserve(free)
        return next((t for t in self.targets if t.name == name), None)
