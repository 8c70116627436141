"""Rolls weight versions out to engines while this replica leads.

Each order to an engine carries a fencing number: the leader's term and the
index of the order in that term. Some engines ignore it. The controller therefore
takes three more precautions against orders of an earlier leader. After a change
of leader it waits until the earlier lease has expired and the last orders sent
under it have arrived. It queries the engine's state before each order. It checks
its own leadership again right before the order is written.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from .._tasks import TASK_FAILURES, cancel_and_wait, start_loop
from ..errors import LaburnumpitchError, NotLeaderError
from ..logging import get_logger
from ..membership.messages import TargetInfo, TargetLoad
from ..policy.load_queue import LoadQueue
from ..policy.rollout import EngineRollout, PoolRollout, choose_loads
from ..targets.http_engine import HttpEngine
from ..targets.protocols import EngineState, Fence
from ..transport.http_client import HttpClientPool
from .document import ModelSection, PoolSection
from .leader import LeaderService
from .replica import Replica

CHECK_INTERVAL_S = 0.25
"""Interval between checks for engines that must load a new version."""

TAKEOVER_WAIT_S = 3.0
"""Time from the start of a term to its first order. It covers the rest of the
previous leader's lease and the transit of the orders sent under it."""

LOAD_TIMEOUT_S = 30.0
"""Time from the order after which an unfinished load counts as failed."""

LOAD_RETRY_DELAY_S = 10.0
"""Delay after a failed load before the engine gets the next order."""

STATE_QUERY_TIMEOUT_S = 2.0
"""Time limit for querying an engine's state."""


@dataclass(frozen=True)
class PendingLoad:
    """A load that was ordered in this term and has not yet finished or failed."""

    version: str
    weight_store: str
    ordered_at_s: float


class RolloutController:
    """Orders engines to load the weight version that their model names.

    Args:
        replica: The control replica of this process.
        leader: The leader service, for the view of targets and loads.
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
        """Term to which the order index and the records of loads belong."""
        self.last_order_index = 0
        """Index of the last order that was sent in this term."""
        self.pending_loads: dict[str, PendingLoad] = {}
        """Loads ordered in this term and not yet ended, by target id."""
        self.retry_at_s: dict[str, float] = {}
        """Time before which a target whose load failed gets no order, by target id."""
        self.load_queues: dict[str, LoadQueue] = {}
        """Since when the engines wait for a load, by pool."""
        self.log = get_logger()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that checks for due loads."""
        self.task = start_loop("rollout_controller", self.run)

    async def close(self) -> None:
        """Stop the task and close the connections to engines."""
        await cancel_and_wait(self.task)
        self.http.close()

    async def run(self) -> None:
        """Send due orders at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.may_send_orders():
                continue
            try:
                await self.roll_out_pools()
            except LaburnumpitchError as error:
                self.log.info("command_failed", code=error.code, detail=error.detail)
            except Exception as error:
                TASK_FAILURES.record("rollout_controller", error)

    def may_send_orders(self) -> bool:
        """Whether this replica leads and no earlier leader's order can take effect.

        Clears the records of earlier orders at the start of a new term.
        """
        if not self.replica.is_leader:
            return False
        core = self.replica.core
        if core.term != self.term:
            self.term = core.term
            self.last_order_index = 0
            self.pending_loads.clear()
            self.retry_at_s.clear()
            self.load_queues.clear()
        return self.get_time_s() > core.leader_since_s + TAKEOVER_WAIT_S

    def require_leadership(self) -> None:
        """Check that this replica still leads in the term of the order.

        Called right before the order is written, since opening the connection
        may take longer than the lease.

        Raises:
            NotLeaderError: If this replica may no longer send orders.
        """
        if not self.replica.is_leader or self.replica.core.term != self.term:
            raise NotLeaderError("the leader lease expired before the order was sent")

    async def roll_out_pools(self) -> None:
        """Order the loads that are due in the pool of every model."""
        sections = self.replica.state_machine.parsed_sections
        for section in list(sections.values()):
            if isinstance(section, ModelSection):
                pool = sections.get(f"pools.{section.pool}")
                if pool is not None:
                    await self.roll_out_pool(section, pool)

    async def roll_out_pool(self, model: ModelSection, pool: PoolSection) -> None:
        """Order the loads that are due in the pool of one model."""
        engines = self.list_reporting_engines(model.pool)
        self.update_pending_loads(engines)
        queue = self.load_queues.setdefault(model.pool, LoadQueue())
        queue.retain(target.target_id for target, _ in engines)
        rollout = PoolRollout(
            model.weight_version,
            tuple(
                self.make_engine_rollout(target, load, model.weight_version, queue)
                for target, load in engines
            ),
            pool.capacity_floor,
            model.pool in self.replica.state_machine.state.paused_pools,
            self.count_free_loads(pool.weight_store),
        )
        targets_by_id = {target.target_id: target for target, _ in engines}
        for target_id in choose_loads(rollout):
            await self.order_load(targets_by_id[target_id], model.weight_version, pool)

    def list_reporting_engines(self, pool: str) -> list[tuple[TargetInfo, TargetLoad]]:
        """Return the engines of a pool whose load is known in this term."""
        view = self.leader.get_term_state().view
        return [
            (target, view.loads.items[target_id])
            for target_id, target in view.targets.items.items()
            if target.pool == pool
            and target.kind == "engine"
            and target_id in view.loads.items
        ]

    def make_engine_rollout(
        self,
        target: TargetInfo,
        load: TargetLoad,
        desired_version: str,
        queue: LoadQueue,
    ) -> EngineRollout:
        """Return an engine's version and load state as the policy takes them."""
        now_s = self.get_time_s()
        retry_at_s = self.retry_at_s.get(target.target_id, 0.0)
        # The time of a failed load's retry is later than that of its failure.
        waiting_s = queue.update(
            target.target_id, load.weight_version, desired_version, now_s
        )
        return EngineRollout(
            target.target_id,
            load.weight_version,
            load.is_loading or target.target_id in self.pending_loads,
            now_s < retry_at_s,
            min(waiting_s, max(0.0, now_s - retry_at_s)),
        )

    def update_pending_loads(
        self, engines: list[tuple[TargetInfo, TargetLoad]]
    ) -> None:
        """Remove finished and failed loads; delay the next order after a failure.

        A load has finished when the engine reports the ordered version, and has
        failed when it takes longer than `LOAD_TIMEOUT_S`. Loads of targets that
        are no longer in the view are removed too.
        """
        now_s = self.get_time_s()
        for target, load in engines:
            pending_load = self.pending_loads.get(target.target_id)
            if pending_load is None:
                continue
            if load.weight_version == pending_load.version and not load.is_loading:
                del self.pending_loads[target.target_id]
                self.log.info(
                    "load_ended", target=target.target_id, version=pending_load.version
                )
            elif now_s - pending_load.ordered_at_s > LOAD_TIMEOUT_S:
                del self.pending_loads[target.target_id]
                self.retry_at_s[target.target_id] = now_s + LOAD_RETRY_DELAY_S
                self.log.warning(
                    "load_failed", target=target.target_id, version=pending_load.version
                )
        known_targets = self.leader.get_term_state().view.targets.items
        for target_id in set(self.pending_loads) - set(known_targets):
            del self.pending_loads[target_id]

    def count_free_loads(self, weight_store: str) -> int:
        """Return how many more engines may load from a weight store now."""
        limit = self.replica.state_machine.system_limits.max_loads_per_weight_store
        pending = sum(
            load.weight_store == weight_store for load in self.pending_loads.values()
        )
        return limit - pending

    async def order_load(
        self, target: TargetInfo, version: str, pool: PoolSection
    ) -> None:
        """Query an engine's state and, if needed, order it to load a version.

        Nothing is sent if the engine does not answer the query in time; the next
        check tries again.

        Raises:
            LaburnumpitchError: If the query or the order fails.
        """
        engine = HttpEngine(self.http.get(target.address))
        try:
            state = await asyncio.wait_for(engine.get_state(), STATE_QUERY_TIMEOUT_S)
        except asyncio.TimeoutError:
            return
        if not self.should_order_load(state, version):
            return
        self.last_order_index += 1
        fence = Fence(self.term, self.last_order_index)
        self.pending_loads[target.target_id] = PendingLoad(
            version, pool.weight_store, self.get_time_s()
        )
        try:
            await engine.load_weights(version, fence, self.require_leadership)
        except LaburnumpitchError:
            del self.pending_loads[target.target_id]
            self.retry_at_s[target.target_id] = self.get_time_s() + LOAD_RETRY_DELAY_S
            raise
        self.log.info(
            "load_ordered",
            target=target.target_id,
            version=version,
            term=fence.term,
            order=fence.index,
        )

    def should_order_load(self, state: EngineState, version: str) -> bool:
        """Whether an engine in this state needs the order and accepts its fence."""
        if state.is_loading or state.weight_version == version:
            return False
        return (state.fence.term, state.fence.index) < (
            self.term,
            self.last_order_index + 1,
        )
