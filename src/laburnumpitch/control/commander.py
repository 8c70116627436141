"""Gives orders to engines while this replica leads.

Each order carries a fencing number, the leader's term and a count. Some engines
ignore it, so a new commander first waits until the old one's lease has run out
and its last orders have arrived, reads each engine's state back, and checks its
own lease again right before an order is written.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from .._tasks import cancel_and_wait
from ..errors import LaburnumpitchError, NotLeaderError
from ..logging import get_logger
from ..membership.messages import TargetInfo, TargetLoad
from ..policy.rollout import EngineVersion, PoolRollout, choose_loads
from ..targets.http_engine import HttpEngine
from ..targets.protocols import EngineState, Fence
from ..transport.http_client import HttpClientPool
from .document import ModelSection, PoolSection
from .leader import LeaderService
from .replica import Replica

INTERVAL_S = 0.25
"""Interval of looking for orders that are due."""

TAKEOVER_WAIT_S = 3.0
"""Time after the start of a term before its first order: the old leader's lease
and the arrival of what it sent."""

LOAD_TIMEOUT_S = 30.0
"""Time after which an engine that was ordered to load counts as failed."""

FAILED_LOAD_PAUSE_S = 10.0
"""Time before an engine whose load failed is ordered again."""

READ_BACK_TIMEOUT_S = 2.0
"""Time for an engine to tell its state."""


@dataclass(frozen=True)
class OrderedLoad:
    """A load that was ordered in this term and is not seen to have ended."""

    version: str
    weight_store: str
    since_s: float


class Commander:
    """Rolls weight versions out.

    Args:
        replica: The replica of this process.
        leader: The leader's view and term.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        replica: Replica,
        leader: LeaderService,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.replica = replica
        self.leader = leader
        self.get_time_s = get_time_s
        self.http = HttpClientPool()
        self.term = 0
        self.orders = 0
        self.loads: dict[str, OrderedLoad] = {}
        """Loads ordered in this term by target."""
        self.failed_until_s: dict[str, float] = {}
        self.log = get_logger()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to look for orders that are due."""
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Stop giving orders."""
        await cancel_and_wait(self.task)
        self.http.close()

    async def run(self) -> None:
        """Give orders that are due, until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            if not self.may_command():
                continue
            try:
                await self.command_pools()
            except LaburnumpitchError as error:
                self.log.info("command_failed", code=error.code, detail=error.detail)
            except Exception:
                self.log.exception("commander_failed")

    def may_command(self) -> bool:
        """Whether no other commander's order can still take effect."""
        if not self.replica.is_leader:
            return False
        core = self.replica.core
        if core.term != self.term:
            self.term = core.term
            self.orders = 0
            self.loads.clear()
            self.failed_until_s.clear()
        return self.get_time_s() > core.leader_since_s + TAKEOVER_WAIT_S

    def require_command(self) -> None:
        """Check the lease right before an order is written.

        Raises:
            NotLeaderError: If this replica may not order any more.
        """
        if not self.replica.is_leader or self.replica.core.term != self.term:
            raise NotLeaderError("the lease of the commander has run out")

    # Rollouts.

    async def command_pools(self) -> None:
        """Order the loads that are due in every pool."""
        values = self.replica.state_machine.values
        for value in list(values.values()):
            if isinstance(value, ModelSection):
                pool = values.get(f"pools.{value.pool}")
                if pool is not None:
                    await self.command_pool(value, pool)

    async def command_pool(self, model: ModelSection, pool: PoolSection) -> None:
        """Order the loads that are due in one pool."""
        engines = self.list_engines(model.pool)
        self.note_ended_loads(engines)
        state = PoolRollout(
            model.weight_version,
            tuple(self.describe(target, load) for target, load in engines),
            pool.capacity_floor,
            model.pool in self.replica.state_machine.state.paused_pools,
            self.count_free_loads(pool.weight_store),
        )
        by_id = {target.target_id: target for target, _ in engines}
        for target_id in choose_loads(state):
            await self.order_load(by_id[target_id], model.weight_version, pool)

    def list_engines(self, pool: str) -> list[tuple[TargetInfo, TargetLoad]]:
        """Return the engines of a pool that have reported."""
        view = self.leader.get_term_state().view
        return [
            (target, view.loads.items[target_id])
            for target_id, target in view.targets.items.items()
            if target.pool == pool
            and target.kind == "engine"
            and target_id in view.loads.items
        ]

    def describe(self, target: TargetInfo, load: TargetLoad) -> EngineVersion:
        """Return an engine as the rollout sees it."""
        failed_until_s = self.failed_until_s.get(target.target_id, 0.0)
        return EngineVersion(
            target.target_id,
            load.weight_version,
            load.is_loading or target.target_id in self.loads,
            self.get_time_s() < failed_until_s,
        )

    def note_ended_loads(self, engines: list[tuple[TargetInfo, TargetLoad]]) -> None:
        """Forget loads that ended, and note those that failed."""
        now_s = self.get_time_s()
        for target, load in engines:
            ordered = self.loads.get(target.target_id)
            if ordered is None:
                continue
            if load.weight_version == ordered.version and not load.is_loading:
                del self.loads[target.target_id]
                self.log.info(
                    "load_ended", target=target.target_id, version=ordered.version
                )
            elif now_s - ordered.since_s > LOAD_TIMEOUT_S:
                del self.loads[target.target_id]
                self.failed_until_s[target.target_id] = now_s + FAILED_LOAD_PAUSE_S
                self.log.warning(
                    "load_failed", target=target.target_id, version=ordered.version
                )
        present = self.leader.get_term_state().view.targets.items
        for target_id in set(self.loads) - set(present):
            del self.loads[target_id]

    def count_free_loads(self, weight_store: str) -> int:
        """Return how many more engines may load from a weight store."""
        limit = self.replica.state_machine.limits.max_loads_per_weight_store
        used = sum(load.weight_store == weight_store for load in self.loads.values())
        return limit - used

    async def order_load(
        self, target: TargetInfo, version: str, pool: PoolSection
    ) -> None:
        """Read an engine's state back and order it to load a version."""
        engine = HttpEngine(self.http.get(target.address))
        try:
            state = await asyncio.wait_for(engine.get_state(), READ_BACK_TIMEOUT_S)
        except asyncio.TimeoutError:
            return
        if not self.is_order_due(state, version):
            return
        self.orders += 1
        fence = Fence(self.term, self.orders)
        self.loads[target.target_id] = OrderedLoad(
            version, pool.weight_store, self.get_time_s()
        )
        try:
            await engine.load_weights(version, fence, self.require_command)
        except LaburnumpitchError:
            del self.loads[target.target_id]
            self.failed_until_s[target.target_id] = (
                self.get_time_s() + FAILED_LOAD_PAUSE_S
            )
            raise
        self.log.info(
            "load_ordered",
            target=target.target_id,
            version=version,
            term=fence.term,
            order=fence.index,
        )

    def is_order_due(self, state: EngineState, version: str) -> bool:
        """Whether an engine that told its state needs the order."""
        if state.is_loading or state.weight_version == version:
            return False
        return (state.fence.term, state.fence.index) < (self.term, self.orders + 1)
