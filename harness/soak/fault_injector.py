"""Injects random faults into a soak's nodes, targets and links.

The faults come from a seed. They occur alone, in series, and at the same time.
"""

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
from .releases import SPARE_COUNT, TARGET_DRAIN_S, BuildReleases

MAX_FAULT_S = 4.0
CATCH_UP_S = 4.0
"""Time from the return of a node with a disk until another one may fail."""

POLL_INTERVAL_S = 0.1

MAX_RELOAD_DELAY_S = 0.5
"""Longest time from the stop of a node to a reload of the settings."""

MAX_RELOADS = 4
"""Maximum number of SIGHUP signals in a row."""

MAX_RELOAD_PAUSE_S = 0.3

RELEASE = "release"
"""Name under which a release of a build is affected; one runs at a time."""


@dataclass
class SoakFaultInjector:
    """Injects faults and records their times."""

    fleet: SoakFleet
    releases: BuildReleases
    proxy: FaultProxy
    random: Random
    node_fault_times_s: dict[str, list[float]] = field(default_factory=dict)
    planned_stop_times_s: dict[str, list[float]] = field(default_factory=dict)
    unplanned_fault_times_s: list[float] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    affected: set[str] = field(default_factory=set)
    """Nodes, targets and services that are under a fault."""
    disk_nodes_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held while nodes with a disk are under a fault and until they have caught up.

    Only `kill_disk_nodes` affects more than one of them at a time.
    """
    is_outage_pending: bool = False
    """Whether all nodes are about to be killed, and no other node fault may begin."""
    outages: int = 0
    """Number of times that all nodes were killed at once."""
    tasks: set[asyncio.Task] = field(default_factory=set)

    @property
    def targets(self) -> list[PlatformTarget]:
        """The targets in service."""
        return self.releases.targets

    def record_event(self, name: str, host: str = "", is_planned: bool = False) -> None:
        """Record that a fault begins or ends."""
        now_s = time.monotonic()
        if host:
            self.node_fault_times_s.setdefault(host, []).append(now_s)
            self.fleet.record_fault(host)
        if not is_planned:
            self.unplanned_fault_times_s.append(now_s)
        self.events.append(f"{name} {host}".strip())

    async def run(self, mean_interval_s: float, unplanned_s: float) -> None:
        """Inject random faults until cancelled, often before the last one ended.

        Args:
            mean_interval_s: Mean time between two faults.
            unplanned_s: Time after which only planned faults are injected.
        """
        planned_faults = [
            self.stop_node,
            self.replace_target,
            self.release_build,
            self.change_seeds,
            self.reload_nodes,
        ]
        all_faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_node,
            self.freeze_node,
            self.stop_node,
            self.reload_nodes,
            self.wipe_node,
            self.replace_node,
            self.kill_disk_nodes,
            self.change_seeds,
            self.crash_target,
            self.replace_target,
            self.release_build,
            self.release_build,
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
            if is_planned and not self.has_stopped_node(planned_from_s):
                inject_fault = self.stop_node
            task = asyncio.create_task(inject_fault())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def has_stopped_node(self, since_s: float) -> bool:
        """Whether a node was stopped as planned work since a time."""
        return any(max(t) > since_s for t in self.planned_stop_times_s.values())

    async def finish(self) -> None:
        """Wait until every fault has ended, and restore all links."""
        while self.tasks:
            done, _ = await asyncio.wait(set(self.tasks))
            for task in done:
                task.result()
        self.proxy.heal_all()

    def reserve(self, names: list[str]) -> str:
        """Mark a random name without a fault as affected and return it.

        Returns:
            The name, or an empty string if all are affected.
        """
        free = [name for name in names if name not in self.affected]
        if not free:
            return ""
        name = self.random.choice(free)
        self.affected.add(name)
        return name

    def reserve_node(self, hosts: list[str]) -> str:
        """Mark a random node without a fault as affected; see `reserve`."""
        return "" if self.is_outage_pending else self.reserve(hosts)

    async def wait_and_reserve(self, name: str) -> None:
        """Wait until a name is without a fault, and mark it as affected."""
        while not self.reserve([name]):
            await asyncio.sleep(POLL_INTERVAL_S)

    def choose_duration_s(self) -> float:
        """Return a random duration of a fault."""
        return self.random.uniform(0.3, MAX_FAULT_S)

    async def disrupt_node(
        self, host: str, inject_fault: Callable[[], Awaitable[None]]
    ) -> None:
        """Inject a fault into a node; only one node with a disk fails at a time."""
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
        if host := self.reserve_node(self.fleet.hosts):
            await self.disrupt_node(host, lambda: self.kill_and_restart(host, False))

    async def wipe_node(self) -> None:
        """Kill a node with a disk, empty the disk, and start the node again."""
        if host := self.reserve_node(self.fleet.hosts[: self.fleet.disk_node_count]):
            await self.disrupt_node(host, lambda: self.kill_and_restart(host, True))

    async def replace_node(self) -> None:
        """Kill a node with a disk for good; an empty one at another address follows."""
        if not self.fleet.spare_hosts:
            return
        if host := self.reserve_node(self.fleet.hosts[: self.fleet.disk_node_count]):
            await self.disrupt_node(host, lambda: self.kill_and_replace(host))

    async def kill_and_replace(self, host: str) -> None:
        """Kill a node, and start another one with an empty disk."""
        self.record_event("remove", host)
        await asyncio.to_thread(self.fleet.kill, host)
        await asyncio.sleep(self.choose_duration_s())
        self.record_event("add", self.fleet.replace(host))

    async def kill_and_restart(self, host: str, is_wiped: bool) -> None:
        """Kill a node, empty its disk if `is_wiped`, and start it again."""
        self.record_event("wipe" if is_wiped else "kill", host)
        await asyncio.to_thread(self.fleet.kill, host)
        await asyncio.sleep(self.choose_duration_s())
        if is_wiped:
            self.fleet.wipe_disk(host)
        self.fleet.restart(host)
        self.record_event("restart", host)

    async def freeze_node(self) -> None:
        """Suspend a node's process for a while."""
        if host := self.reserve_node(self.fleet.hosts):
            await self.disrupt_node(host, lambda: self.freeze_and_thaw(host))

    async def freeze_and_thaw(self, host: str) -> None:
        """Suspend a node's process and resume it."""
        self.record_event("freeze", host)
        self.fleet.freeze(host)
        await asyncio.sleep(self.choose_duration_s())
        self.fleet.thaw(host)
        self.record_event("thaw", host)

    async def stop_node(self) -> None:
        """Stop a node gracefully, as planned work, and start it again."""
        if host := self.reserve_node(self.fleet.hosts):
            await self.disrupt_node(host, lambda: self.stop_and_restart(host))

    async def stop_and_restart(self, host: str) -> None:
        """Stop a node gracefully, at times amid reloads, and start it again."""
        self.planned_stop_times_s.setdefault(host, []).append(time.monotonic())
        self.record_event("stop", host, is_planned=True)
        node = self.fleet.nodes[host]
        stopping = asyncio.create_task(asyncio.to_thread(node.stop))
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0.0, MAX_RELOAD_DELAY_S))
            await self.change_seeds()
        await stopping
        self.fleet.restart(host)
        self.record_event("restart", host, is_planned=True)

    async def kill_disk_nodes(self) -> None:
        """Kill all nodes with a disk at once and restart them with their data."""
        hosts = self.fleet.hosts[: self.fleet.disk_node_count]
        is_affected = bool(self.affected & set(hosts)) or self.disk_nodes_lock.locked()
        if is_affected or self.is_outage_pending:
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
        """Write other seed nodes to all nodes' settings; half the nodes get SIGHUP."""
        self.record_event("seeds", is_planned=True)
        self.fleet.seeds = self.random.sample(self.fleet.hosts, 3)
        for host, node in self.fleet.nodes.items():
            self.fleet.write_settings(host)
            if self.random.random() < 0.5 and node.is_running:
                node.signal(signal.SIGHUP)

    async def reload_nodes(self) -> None:
        """Send SIGHUP to nodes, as planned work, some of them several times."""
        for _ in range(self.random.randint(1, MAX_RELOADS)):
            host = self.random.choice(self.fleet.hosts)
            if self.fleet.reload(host):
                self.record_event(f"reload {host}", is_planned=True)
            await asyncio.sleep(self.random.uniform(0.0, MAX_RELOAD_PAUSE_S))

    async def crash_target(self) -> None:
        """Crash a target and start it again at the same address."""
        if target := self.reserve_target():
            self.record_event(f"crash {target.name}")
            await target.crash()
            await asyncio.sleep(self.choose_duration_s())
            await target.start()
            self.record_event(f"started {target.name}")
            self.affected.discard(target.name)

    async def replace_target(self) -> None:
        """Let a target leave gracefully, and start a new one at its address."""
        if target := self.reserve_target():
            self.record_event(f"leave {target.name}", is_planned=True)
            await target.leave(TARGET_DRAIN_S)
            await target.start()
            self.affected.discard(target.name)

    async def release_build(self) -> None:
        """Start a target of a new build, and let one of an old build leave."""
        if not self.reserve([RELEASE]):
            return
        await self.begin_release()
        await self.restore_spares()
        self.affected.discard(RELEASE)

    async def begin_release(self) -> None:
        """Start a target of a new build, or a further one of the newest build."""
        self.record_release(await self.releases.begin_release())

    def record_release(self, target: PlatformTarget) -> None:
        """Record that a target of the newest build has started."""
        self.record_event(f"release {target.name} {target.build}", is_planned=True)

    async def restore_spares(self) -> None:
        """Start targets or let old ones leave, until the usual number is in service."""
        while len(self.releases.spares) > SPARE_COUNT:
            self.record_release(await self.releases.start_target())
        while len(self.releases.spares) < SPARE_COUNT:
            old_engines = self.releases.list_old_engines()
            await self.retire_target(self.random.choice(old_engines))

    async def retire_target(self, target: PlatformTarget) -> None:
        """Let a target leave for good, once it has no other fault."""
        await self.wait_and_reserve(target.name)
        self.record_event(f"retire {target.name} {target.build}", is_planned=True)
        await self.releases.retire_target(target)
        self.affected.discard(target.name)

    async def inject_target_errors(self) -> None:
        """Let a target answer part of its requests with failures."""
        if target := self.reserve_target():
            self.record_event(f"fail {target.name}")
            target.failure_share = 0.5
            await asyncio.sleep(self.choose_duration_s())
            target.failure_share = 0.0
            self.record_event(f"heal {target.name}")
            self.affected.discard(target.name)

    async def report_service_full(self) -> None:
        """Let all targets of a service report that they are full."""
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
        """Impair the link in front of a target."""
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
        """Mark a target as affected and return it; half of each service stays up."""
        affected_counts: dict[str, int] = defaultdict(int)
        for target in self.targets:
            affected_counts[target.service] += target.name in self.affected
        free = [
            target.name
            for target in self.targets
            if affected_counts[target.service] * 2 + 2
            <= sum(t.service == target.service for t in self.targets)
        ]
        name = self.reserve(free)
        return next((t for t in self.targets if t.name == name), None)
