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

DRAIN_S = 2.0
MAX_DOWN_S = 4.0
CATCH_UP_S = 4.0
"""Time after which a node with a disk that was lost counts as back."""


@dataclass
class Faults:
    """Strikes nodes and targets, and notes when."""

    fleet: SoakFleet
    targets: list[PlatformTarget]
    proxy: FaultProxy
    random: Random
    disturbances: dict[str, list[float]] = field(default_factory=dict)
    stops_s: dict[str, list[float]] = field(default_factory=dict)
    any_fault_s: list[float] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)
    """Nodes, targets and links that a fault has now."""
    core_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    """One node with a disk is lost at a time."""
    tasks: set[asyncio.Task] = field(default_factory=set)

    def note(self, name: str, host: str = "", is_planned: bool = False) -> None:
        """Note that a fault strikes or ends."""
        now_s = time.monotonic()
        if host:
            self.disturbances.setdefault(host, []).append(now_s)
            self.fleet.disturb(host)
        if not is_planned:
            self.any_fault_s.append(now_s)
        self.names.append(f"{name} {host}".strip())

    async def run(self, pause_s: float, unplanned_s: float) -> None:
        """Strike at random until cancelled, often before the last fault ended.

        Args:
            pause_s: Usual time between two faults.
            unplanned_s: Time after which only planned work is done.
        """
        planned = [self.stop_node, self.replace_target, self.change_seeds]
        kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill_node,
            self.freeze_node,
            self.stop_node,
            self.wipe_node,
            self.kill_core,
            self.change_seeds,
            self.crash_target,
            self.replace_target,
            self.harm_link,
            self.harm_link,
            self.fail_target,
            self.fill_service,
        ]
        planned_from_s = time.monotonic() + unplanned_s
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.8) * pause_s)
            is_planned = time.monotonic() > planned_from_s
            strike = self.random.choice(planned if is_planned else kinds)
            task = asyncio.create_task(strike())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Let every fault end."""
        while self.tasks:
            done, _ = await asyncio.wait(set(self.tasks))
            for task in done:
                task.result()
        self.proxy.heal_all()

    def take(self, names: list[str]) -> str:
        """Return something that no fault has now, or an empty string."""
        free = [name for name in names if name not in self.busy]
        if not free:
            return ""
        name = self.random.choice(free)
        self.busy.add(name)
        return name

    def draw_s(self) -> float:
        """Return how long a fault lasts."""
        return self.random.uniform(0.3, MAX_DOWN_S)

    async def lose(self, host: str, strike: Callable[[], Awaitable[None]]) -> None:
        """Lose a node for a while; those with a disk one after the other."""
        try:
            if not self.fleet.has_disk(host):
                await strike()
                return
            async with self.core_lock:
                await strike()
                await asyncio.sleep(CATCH_UP_S)
        finally:
            self.busy.discard(host)

    async def kill_node(self) -> None:
        """Kill a node and start it again."""
        if host := self.take(self.fleet.hosts):
            await self.lose(host, lambda: self.kill_for_a_while(host, False))

    async def wipe_node(self) -> None:
        """Kill a node with a disk and empty it."""
        if host := self.take(self.fleet.hosts[: self.fleet.disks]):
            await self.lose(host, lambda: self.kill_for_a_while(host, True))

    async def kill_for_a_while(self, host: str, is_wiped: bool) -> None:
        """Kill a node, empty its disk perhaps, and start it again."""
        self.note("wipe" if is_wiped else "kill", host)
        await asyncio.to_thread(self.fleet.kill, host)
        await asyncio.sleep(self.draw_s())
        if is_wiped:
            self.fleet.wipe(host)
        self.fleet.restart(host)
        self.note("restart", host)

    async def freeze_node(self) -> None:
        """Stop a node's time for a while."""
        if host := self.take(self.fleet.hosts):
            await self.lose(host, lambda: self.freeze_for_a_while(host))

    async def freeze_for_a_while(self, host: str) -> None:
        """Stop a node's time and let it go on."""
        self.note("freeze", host)
        self.fleet.freeze(host)
        await asyncio.sleep(self.draw_s())
        self.fleet.thaw(host)
        self.note("thaw", host)

    async def stop_node(self) -> None:
        """Stop a node as planned and start it again."""
        if host := self.take(self.fleet.hosts):
            await self.lose(host, lambda: self.stop_for_a_while(host))

    async def stop_for_a_while(self, host: str) -> None:
        """Stop a node gracefully and start it again."""
        self.stops_s.setdefault(host, []).append(time.monotonic())
        self.note("stop", host, is_planned=True)
        node = self.fleet.nodes[host]
        await asyncio.to_thread(node.stop)
        self.fleet.restart(host)
        self.note("restart", host, is_planned=True)

    async def kill_core(self) -> None:
        """Kill all nodes with a disk at once; their disks stay."""
        hosts = self.fleet.hosts[: self.fleet.disks]
        if self.busy & set(hosts) or self.core_lock.locked():
            return
        self.busy |= set(hosts)
        async with self.core_lock:
            for host in hosts:
                self.note("kill", host)
                await asyncio.to_thread(self.fleet.kill, host)
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            for host in hosts:
                self.fleet.restart(host)
                self.note("restart", host)
            await asyncio.sleep(CATCH_UP_S)
            self.busy -= set(hosts)

    async def change_seeds(self) -> None:
        """Name other seeds in the settings of all nodes, half of them signalled."""
        self.note("seeds", is_planned=True)
        self.fleet.seeds = self.random.sample(self.fleet.hosts, 3)
        for host, node in self.fleet.nodes.items():
            self.fleet.write_settings(host)
            if self.random.random() < 0.5 and node.is_running:
                node.signal(signal.SIGHUP)

    async def crash_target(self) -> None:
        """End a target at once, and start it again at its address."""
        if target := self.take_target():
            self.note(f"crash {target.name}")
            await target.crash()
            await asyncio.sleep(self.draw_s())
            await target.start()
            self.note(f"started {target.name}")
            self.busy.discard(target.name)

    async def replace_target(self) -> None:
        """Let a target leave as planned, and a new one take its place."""
        if target := self.take_target():
            self.note(f"leave {target.name}", is_planned=True)
            await target.leave(DRAIN_S)
            await target.start()
            self.busy.discard(target.name)

    async def fail_target(self) -> None:
        """Let a target fail part of its requests."""
        if target := self.take_target():
            self.note(f"fail {target.name}")
            target.failure_share = 0.5
            await asyncio.sleep(self.draw_s())
            target.failure_share = 0.0
            self.note(f"heal {target.name}")
            self.busy.discard(target.name)

    async def fill_service(self) -> None:
        """Let all targets of a service say that they are full."""
        service = self.random.choice(sorted({t.service for t in self.targets}))
        if not self.take([f"full {service}"]):
            return
        self.note(f"full {service}")
        filled = [target for target in self.targets if target.service == service]
        for target in filled:
            target.is_full = True
        await asyncio.sleep(self.draw_s() / 2)
        for target in filled:
            target.is_full = False
        self.note(f"free {service}")
        self.busy.discard(f"full {service}")

    async def harm_link(self) -> None:
        """Harm the link in front of a target."""
        target = self.take_target()
        if target is None:
            return
        harms: list[dict] = [
            {"delay_s": 0.1, "jitter_s": 0.2},
            {"is_cut_forward": True},
            {"is_cut_backward": True},
            {"is_cut_forward": True, "is_cut_backward": True},
            {"refuse": True},
            {"truncate_after": self.random.randrange(50, 400)},
            {"drop_answers": 5},
        ]
        harm = self.random.choice(harms)
        self.note(f"link {target.name} {harm}")
        await asyncio.to_thread(self.proxy.change, target.name, **harm)
        await asyncio.sleep(self.draw_s())
        await asyncio.to_thread(self.proxy.heal, target.name)
        self.note(f"healed {target.name}")
        self.busy.discard(target.name)

    def take_target(self) -> PlatformTarget | None:
        """Return a target that no fault has now; half of each service stays."""
        by_service: dict[str, int] = defaultdict(int)
        for target in self.targets:
            by_service[target.service] += target.name in self.busy
        free = [
            target.name
            for target in self.targets
            if by_service[target.service] * 2 + 2
            <= sum(t.service == target.service for t in self.targets)
        ]
        name = self.take(free)
        return next((t for t in self.targets if t.name == name), None)
