"""Rolls the desired weight versions out to the engines while this node leads.

Only the holder of the lease gives orders: the leader, once the lease of its
predecessor has expired. Each order gives the number of orders that the engine must
have accepted before it, so that a copy that arrives late has no effect.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from .._tasks import contain_errors, keep_running, start_task
from ..errors import LaburnumpitchError, NotLeaderError, TargetError
from ..logging import get_logger
from ..policy.load_queue import LoadQueue
from ..policy.rollout import (
    EngineRollout,
    PoolRollout,
    choose_loads,
    choose_retiring,
    get_capacity_floor,
)
from .engine_client import ACCEPTED, ALREADY_DONE, EngineClient, WeightOrder
from .fleet_publisher import FleetPublisher
from .messages import TargetRecord
from .replica_manager import ReplicaManager

CHECK_INTERVAL_S = 0.1
"""Interval of checks for loads that are due."""

TAKEOVER_MARGIN_S = 0.5
"""Time after the lease's expiry before a new holder's first order, in which the last
order of the previous holder can still arrive."""

REPORT_INTERVAL_S = 0.25
"""Interval of reading an engine's report while it loads."""

LOAD_TIMEOUT_S = 8.0
"""Time after which the controller abandons a load; it may then order it again."""

ORDER_RETRY_DELAY_S = 0.15
"""Pause after an engine did not accept an order."""

INITIAL_LOAD_ESTIMATE_S = 2.5
"""Estimated time for which a load makes an engine unavailable, before any was measured:
the load time in the engine's specification plus the time until short runs end."""

LOAD_ESTIMATE_WEIGHT = 0.2
"""Weight of the newest load in the moving average of the load time."""

RETIRING_S = 1.2
"""Time for which an engine gets only short requests before it is ordered to load; most
of its running streams end within it."""

MIN_RETIRING_POOL = 3
"""Smallest pool in which engines get only short requests before a load; in a smaller
one too few engines would be left for long requests."""


class RolloutController:
    """Orders engines to load the desired weight versions, pool by pool.

    Args:
        replica_manager: Manages this node's replica.
        engine_client: Reads engines' reports and sends them orders.
        lease_s: Time that must pass between orders of two holders.
        version_timeout_s: Time in which all engines must load a new desired version.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        replica_manager: ReplicaManager,
        engine_client: EngineClient,
        lease_s: float,
        version_timeout_s: float,
        get_time_s: Callable[[], float],
    ) -> None:
        self.replica_manager = replica_manager
        self.engine_client = engine_client
        self.lease_s = lease_s
        self.version_timeout_s = version_timeout_s
        self.get_time_s = get_time_s
        self.term = -1
        self.load_tasks: dict[str, asyncio.Task[None]] = {}
        """Tasks of the loads in progress that this term's leader ordered, by target."""
        self.retiring_since_s: dict[str, float] = {}
        """Time since when the engines that load next get only short requests."""
        self.load_queues: dict[str, LoadQueue] = {}
        """Since when the engines wait for a load, by model."""
        self.load_estimate_s = INITIAL_LOAD_ESTIMATE_S
        """Estimated time for which a load makes an engine unavailable."""
        self.log = get_logger()

    async def run(self) -> None:
        """Start loads that are due while this node holds the lease, until cancelled."""
        try:
            await keep_running("rollout_controller", self.run_checks)
        finally:
            self.cancel_loads()

    async def run_checks(self) -> None:
        """Start loads that are due, at intervals."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            publisher = self.replica_manager.publisher
            if publisher is not None and self.may_give_orders(publisher):
                self.start_loads(publisher)

    def cancel_loads(self) -> None:
        """Cancel the tasks of all loads; the engines may still carry them out."""
        for load in self.load_tasks.values():
            load.cancel()
        self.load_tasks.clear()
        self.retiring_since_s.clear()
        self.load_queues.clear()

    def may_give_orders(self, publisher: FleetPublisher) -> bool:
        """Whether this node leads and no previous holder's order can still arrive."""
        try:
            publisher.check_term()
        except NotLeaderError:
            return False
        core = publisher.replica.core
        if core.term != self.term:
            self.cancel_loads()
            self.term = core.term
        waited_s = self.get_time_s() - core.leader_since_s
        return waited_s > self.lease_s + TAKEOVER_MARGIN_S

    def start_loads(self, publisher: FleetPublisher) -> None:
        """Start the loads that are due, for every service and model."""
        weights = publisher.replica.state_machine.state.weights
        pools: dict[str, list[TargetRecord]] = {}
        for record in publisher.targets.get_records():
            if record.versions and not record.is_leaving:
                pools.setdefault(record.service, []).append(record)
        for queue in self.load_queues.values():
            queue.retain(publisher.targets.entries)
        for records in pools.values():
            for model, version in sorted(
                weights.items(),
                key=lambda item: self.get_longest_outdated_s(publisher, records, *item),
                reverse=True,
            ):
                matching = [record for record in records if model in record.versions]
                with contain_errors("rollout_controller"):
                    self.start_pool_loads(publisher, matching, model, version)

    def get_longest_outdated_s(
        self,
        publisher: FleetPublisher,
        records: list[TargetRecord],
        model: str,
        version: int,
    ) -> float:
        """Return the time for which the oldest version of a model has been outdated.

        Models whose engines have waited longest come first, so that versions of one
        model in succession do not keep another one from its rollout.
        """
        oldest = min((r.versions.get(model, version) for r in records), default=version)
        return publisher.weight_history.get_outdated_s(model, oldest, self.get_time_s())

    def start_pool_loads(
        self,
        publisher: FleetPublisher,
        records: list[TargetRecord],
        model: str,
        version: int,
    ) -> None:
        """Start the due loads of one model in one service.

        An engine gets only short requests for `RETIRING_S` before its load starts.
        """
        by_id = {record.target_id: record for record in records}
        pool = self.make_pool(publisher, records, model, version)
        for target_id in choose_retiring(pool):
            if target_id not in self.retiring_since_s:
                self.retiring_since_s[target_id] = self.get_time_s()
                if len(records) >= MIN_RETIRING_POOL:
                    publisher.update_target(target_id, is_retiring=True)
        engines = tuple(
            replace(engine, is_load_deferred=not self.has_retired(engine.target_id))
            for engine in pool.engines
        )
        for target_id in choose_loads(replace(pool, engines=engines)):
            del self.retiring_since_s[target_id]
            load = self.load(publisher, by_id[target_id], model, version)
            self.load_tasks[target_id] = start_task("weight_load", load)

    def make_pool(
        self,
        publisher: FleetPublisher,
        records: list[TargetRecord],
        model: str,
        version: int,
    ) -> PoolRollout:
        """Return the engines of a pool in the form that the rollout policy takes."""
        engines = tuple(
            self.make_engine(publisher, record, model, version) for record in records
        )
        floor = get_capacity_floor(
            len(engines), self.load_estimate_s, self.version_timeout_s
        )
        return PoolRollout(str(version), engines, floor, False, len(engines))

    def make_engine(
        self, publisher: FleetPublisher, record: TargetRecord, model: str, version: int
    ) -> EngineRollout:
        """Return an engine in the form that the rollout policy takes."""
        now_s = self.get_time_s()
        engine_version = min(record.versions[model], version)
        waiting_s = self.load_queues.setdefault(model, LoadQueue()).update(
            record.target_id,
            str(engine_version),
            str(version),
            now_s,
            publisher.weight_history.get_outdated_s(model, engine_version, now_s),
        )
        return EngineRollout(
            record.target_id,
            str(engine_version),
            record.target_id in self.load_tasks,
            record.is_silent,
            waiting_s,
        )

    def has_retired(self, target_id: str) -> bool:
        """Whether an engine has had `RETIRING_S` to end its long runs."""
        since_s = self.retiring_since_s.get(target_id)
        return since_s is not None and self.get_time_s() - since_s >= RETIRING_S

    async def load(
        self, publisher: FleetPublisher, record: TargetRecord, model: str, version: int
    ) -> None:
        """Order one load and wait until it ends or times out."""
        target_id = record.target_id
        started_s = self.get_time_s()
        publisher.update_target(target_id, is_loading=True, is_retiring=False)
        has_version = False
        try:
            while self.get_time_s() - started_s < LOAD_TIMEOUT_S:
                try:
                    has_version = await self.advance_load(
                        publisher, record, model, version
                    )
                    if has_version:
                        duration_s = self.get_time_s() - started_s
                        self.load_estimate_s += (
                            duration_s - self.load_estimate_s
                        ) * LOAD_ESTIMATE_WEIGHT
                        break
                    await asyncio.sleep(REPORT_INTERVAL_S)
                except TargetError as error:
                    self.log.info(
                        "order_failed",
                        target=target_id,
                        version=version,
                        code=error.code,
                        detail=error.detail,
                    )
                    await asyncio.sleep(ORDER_RETRY_DELAY_S)
        except LaburnumpitchError as error:
            self.log.warning("order_lost", target=target_id, code=error.code)
        finally:
            self.load_tasks.pop(target_id, None)
            if not has_version and model in self.load_queues:
                self.load_queues[model].record_failure(target_id, self.get_time_s())
            publisher.update_target(target_id, is_loading=False)
        self.log.info(
            "load_ended",
            target=target_id,
            model=model,
            version=version,
            has_version=has_version,
            seconds=round(self.get_time_s() - started_s, 2),
        )

    async def advance_load(
        self, publisher: FleetPublisher, record: TargetRecord, model: str, version: int
    ) -> bool:
        """Read an engine's report; order the version if it is missing.

        Returns:
            Whether the engine has the version.
        """
        report = await self.engine_client.read_report(record)
        if report.versions.get(model, 0) >= version:
            publisher.update_target(
                record.target_id, versions={**record.versions, **report.versions}
            )
            return True
        if report.is_busy:
            return False
        # A newer version may have been set since the load began.
        newest_version = publisher.replica.state_machine.state.weights[model]
        order = WeightOrder(
            model,
            newest_version,
            self.replica_manager.node.host,
            self.term,
            report.order_count,
            lambda: self.check_lease(publisher),
        )
        result = await self.engine_client.order_weights(record, order)
        self.log.info(
            "load_ordered",
            target=record.target_id,
            model=model,
            version=newest_version,
            token=order.token,
            after_orders=order.after_orders,
            result=result,
        )
        if result not in (ACCEPTED, ALREADY_DONE):
            await asyncio.sleep(ORDER_RETRY_DELAY_S)
        return False

    def check_lease(self, publisher: FleetPublisher) -> None:
        """Check the lease right before an order is written.

        Raises:
            NotLeaderError: If another holder may give orders.
        """
        publisher.check_term()
        if publisher.term != self.term:
            raise NotLeaderError("a new term has begun")
