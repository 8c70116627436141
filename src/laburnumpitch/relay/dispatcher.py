"""Assigns each request to a target, or queues it at this node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

from .._tasks import TASK_FAILURES
from ..errors import OverloadedError
from ..fleet.messages import PlaceAnswer, PlaceCall, TargetRecord
from ..policy.send_window import SendWindow
from ..policy.target_selection import choose_target
from .cold_sends import ColdSends
from .local_candidates import make_local_candidates
from .local_capacity import has_local_capacity
from .place_calls import make_place_call
from .placement_client import Placement
from .request import AdmittedRequest
from .request_queue import QueuedRequest, QueueKey, RequestQueue, make_priority
from .restricted_queues import apply_restrictions
from .target_catalog import TargetCatalog
from .target_refusals import find_refusal, make_refusal

MAX_WAIT_OBJECTIVES = 1.0
"""Longest wait in the queue, in latency objectives; an answer is late after that in any
case."""

MAX_WAIT_SHARE = 0.5
"""Share of the remaining time that a request may wait in the queue; the rest is left
for an answer, or for the client's retry."""

RECHECK_INTERVAL_S = 0.05
"""Longest time between two attempts to dispatch the first request of a queue, unless
the coordinator gave a delay."""


class PlacementSource(Protocol):
    """Requests placements from coordinators, and releases them."""

    async def request_placement(
        self, call: PlaceCall
    ) -> tuple[PlaceAnswer, Placement | None] | None:
        """Return the answer and the placement, or None without an answer."""

    def report_prefill_end(self, placement: Placement) -> None:
        """Report that the prefill of a placement's prompt has ended."""

    def release(self, placement: Placement) -> None:
        """Report that a placement is released."""


class Dispatcher:
    """Assigns requests to targets.

    A service's coordinator chooses the target. Without an answer of the coordinator,
    this node chooses one by its own data.

    Args:
        catalog: The fleet's targets.
        placement_source: Requests placements from coordinators.
        get_time_s: Monotonic time.
        random_source: Breaks ties.
    """

    def __init__(
        self,
        catalog: TargetCatalog,
        placement_source: PlacementSource,
        get_time_s: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self.catalog = catalog
        self.fleet_view = catalog.fleet_view
        self.statistics = catalog.statistics
        self.placement_source = placement_source
        self.get_time_s = get_time_s
        self.random = random_source
        self.queue = RequestQueue(get_time_s)
        self.placements: dict[int, Placement] = {}
        """Placements by `id` of the request that holds them."""
        self.cold_sends = ColdSends(catalog.cold)
        self.send_windows: dict[str, SendWindow] = {}
        """Bounds on the prompts in prefill without a coordinator, by service."""
        self.dispatch_tasks: dict[QueueKey, asyncio.Task[None]] = {}
        """Tasks that dispatch the queued requests."""
        self.wakeup = asyncio.Event()
        """Set when a queued request may get a target; replaced each time."""
        self.retry_delays_s: dict[QueueKey, float] = {}
        """Delay before a coordinator is called again for a queue."""
        self.fleet_view.on_change.append(self.on_fleet_change)
        self.fleet_view.on_other_loads = self.wake_queues

    def close(self) -> None:
        """Stop dispatching queued requests."""
        for task in list(self.dispatch_tasks.values()):
            task.cancel()

    def on_fleet_change(self) -> None:
        """Update the targets and wake the queues."""
        self.catalog.update()
        for key in apply_restrictions(self.queue, self.catalog):
            self.start_dispatching(key)
        self.queue.refuse(partial(find_refusal, self.catalog))
        self.wake_queues()

    def count_queued(self) -> int:
        """Return the number of queued requests."""
        return len(self.queue)

    async def acquire(
        self,
        admitted: AdmittedRequest,
        excluded: frozenset[str],
        deadline_s: float,
        build: str = "",
    ) -> TargetRecord:
        """Return a target for a request, and count the request there.

        Args:
            admitted: The request.
            excluded: Targets that must not be chosen.
            deadline_s: Monotonic time by which the request must be answered.
            build: Build that the target must have; empty for any.

        Raises:
            NoTargetError: If the service has no such target.
            OverloadedError: If no target had capacity in time.
        """
        regions = self.catalog.region_rules.get_allowed_regions(admitted)
        key = (admitted.service, build, regions)
        if not self.catalog.has_other_target(
            admitted.service, build, excluded, regions
        ):
            self.catalog.region_rules.record_no_target(admitted, regions)
            raise make_refusal(self.catalog, key, excluded)
        if not self.has_queue_ahead(admitted, build):
            target = await self.try_acquire(admitted, excluded, build)
            if target is not None:
                return target
        return await self.wait_in_queue(admitted, excluded, deadline_s, build)

    def has_queue_ahead(self, admitted: AdmittedRequest, build: str) -> bool:
        """Whether a queued request of the same queue comes before this one."""
        key = self.make_queue_key(admitted, build)
        return self.queue.has_ahead(key, make_priority(admitted))

    def make_queue_key(self, admitted: AdmittedRequest, build: str) -> QueueKey:
        """Return the queue in which a request waits."""
        regions = self.catalog.region_rules.get_allowed_regions(admitted)
        return (admitted.service, build, regions)

    async def wait_in_queue(
        self,
        admitted: AdmittedRequest,
        excluded: frozenset[str],
        deadline_s: float,
        build: str,
    ) -> TargetRecord:
        """Return a target once the request is dispatched from the queue.

        Raises:
            InternalError: If dispatching it failed for an unexpected reason.
            OverloadedError: If no target had capacity in time.
        """
        wait_s = self.get_queue_wait_s(admitted, deadline_s)
        future = asyncio.get_running_loop().create_future()
        priority = make_priority(admitted)
        regions = self.catalog.region_rules.get_allowed_regions(admitted)
        queued = QueuedRequest(priority, admitted, excluded, build, future, regions)
        self.queue.add(queued)
        self.start_dispatching(queued.key)
        try:
            # Not wait_for, which drops a cancellation that comes with the result.
            await asyncio.wait({future}, timeout=max(0.0, wait_s))
        except asyncio.CancelledError:
            if future.done() and future.exception() is None:
                self.release_unused(future.result(), admitted)
            raise
        finally:
            self.queue.discard(queued)
        if not future.done():
            raise OverloadedError(f"{admitted.service} has no target with capacity")
        return future.result()

    def get_queue_wait_s(self, admitted: AdmittedRequest, deadline_s: float) -> float:
        """Return the longest time that a request waits in the queue."""
        remaining_s = deadline_s - self.get_time_s()
        objective_s = admitted.route.objective_s
        return min(remaining_s * MAX_WAIT_SHARE, objective_s * MAX_WAIT_OBJECTIVES)

    def wake_queues(self) -> None:
        """Dispatch queued requests now, where targets have capacity."""
        self.wakeup.set()
        self.wakeup = asyncio.Event()

    def start_dispatching(self, key: QueueKey) -> None:
        """Start the task that dispatches a queue, unless it runs."""
        if key not in self.dispatch_tasks:
            self.dispatch_tasks[key] = asyncio.create_task(self.dispatch_queue(key))

    async def dispatch_queue(self, key: QueueKey) -> None:
        """Dispatch the requests of a queue until none is left."""
        try:
            while queued := self.queue.find_first(key):
                try:
                    await self.dispatch_first(queued)
                except Exception as error:
                    # Only this request fails; the others are dispatched after it.
                    TASK_FAILURES.record("dispatcher", error)
                    self.queue.discard(queued)
                    queued.fail(error)
        finally:
            # No await may come between the last check of the queue and this deletion,
            # or a request queued in between would wait for a task that has ended.
            del self.dispatch_tasks[key]

    async def dispatch_first(self, queued: QueuedRequest) -> None:
        """Dispatch the first request, or wait a moment if no target has capacity.

        Later requests do not overtake it, or large prompts would never be dispatched.
        """
        refusal = find_refusal(self.catalog, queued.key, queued.excluded)
        if refusal is not None:
            self.queue.discard(queued)
            queued.fail(refusal)
            return
        wakeup = self.wakeup
        target = await self.try_acquire(queued.admitted, queued.excluded, queued.build)
        if target is None:
            try:
                async with asyncio.timeout(
                    self.retry_delays_s.get(queued.key, RECHECK_INTERVAL_S)
                ):
                    await wakeup.wait()
            except asyncio.TimeoutError:
                # The caller retries.
                return
        elif queued in self.queue and not queued.future.done():
            self.queue.discard(queued)
            queued.future.set_result(target)
        else:
            self.release_unused(target, queued.admitted)

    def make_place_call(
        self, admitted: AdmittedRequest, excluded: frozenset[str], build: str
    ) -> PlaceCall:
        """Return the call that requests a placement."""
        now_s = self.get_time_s()
        return make_place_call(self.catalog, admitted, excluded, build, now_s)

    async def try_acquire(
        self, admitted: AdmittedRequest, excluded: frozenset[str], build: str
    ) -> TargetRecord | None:
        """Return a target, and count the request there; None if none has capacity."""
        key = self.make_queue_key(admitted, build)
        call = self.make_place_call(admitted, excluded, build)
        asked_s = self.cold_sends.get_clock_s()
        result = await self.placement_source.request_placement(call)
        if call.allowed_regions != self.make_queue_key(admitted, build)[-1]:
            # The configuration has changed meanwhile.
            call = self.make_place_call(admitted, excluded, build)
        if result is None:
            self.retry_delays_s.pop(key, None)
            return self.choose_locally(admitted, call)
        answer, placement = result
        if placement is None:
            self.retry_delays_s[key] = answer.wait_s
            return None
        target = self.catalog.find_target(
            admitted.service, answer.target_id, build, call.allowed_regions
        )
        if (
            target is None
            or not self.catalog.is_eligible(target, call)
            or not self.cold_sends.take_grant(admitted, target, answer, asked_s)
        ):
            # This node has newer data on the target than the coordinator.
            self.catalog.region_rules.record_declined(call, answer.target_id)
            self.placement_source.release(placement)
            return self.choose_locally(admitted, call)
        self.placements[id(admitted)] = placement
        self.catalog.record_start(target, admitted.metadata.prompt_tokens)
        return target

    def choose_locally(
        self, admitted: AdmittedRequest, call: PlaceCall
    ) -> TargetRecord | None:
        """Choose a target by this node's own data, and count the request there."""
        if not self.fits_send_window(admitted):
            return None
        targets = self.list_local_targets(call)
        candidates = make_local_candidates(self.catalog, targets, call)
        tie_breaks = [self.random.random() for _ in candidates]
        chosen = choose_target(
            candidates, call.key, tie_breaks, self.fleet_view.node_count
        )
        if chosen is None:
            return None
        target = next(t for t in targets if t.target_id == chosen.target_id)
        self.catalog.record_start(target, call.prompt_tokens)
        self.cold_sends.take_local(admitted, target)
        if admitted.route.has_context:
            self.get_send_window(admitted.service).record_sent(
                id(admitted), call.prompt_tokens, call.objective_s, self.get_time_s()
            )
        return target

    def list_local_targets(self, call: PlaceCall) -> list[TargetRecord]:
        """Return the targets to which this node may send a request by its own data."""
        return [
            target
            for target in self.catalog.get_targets(
                call.service, call.build, call.allowed_regions
            )
            if not self.find_local_exclusion(target, call)
        ]

    def find_local_exclusion(self, target: TargetRecord, call: PlaceCall) -> str:
        """Return why this node may not send a request to a target; empty if it may."""
        if target.target_id in call.excluded:
            return "excluded"
        if reason := self.catalog.find_exclusion(target, call):
            return reason
        if not self.cold_sends.may_send_locally(target):
            return "cold"
        return "" if self.has_capacity(target, call) else "full"

    def has_capacity(self, target: TargetRecord, call: PlaceCall) -> bool:
        """Whether this node may send one more request to a target, by its own data."""
        return has_local_capacity(self.catalog, target, call)

    def get_send_window(self, service: str) -> SendWindow:
        """Return the window that bounds the prompts in prefill at a service."""
        window = self.send_windows.get(service)
        if window is None:
            window = self.send_windows[service] = SendWindow()
        return window

    def fits_send_window(self, admitted: AdmittedRequest) -> bool:
        """Whether one more prompt of this size fits in the send window."""
        if not admitted.route.has_context:
            return True
        window = self.get_send_window(admitted.service)
        return window.may_send(admitted.metadata.prompt_tokens, self.get_time_s())

    def record_prefill_end(
        self, target: TargetRecord, admitted: AdmittedRequest, duration_s: float | None
    ) -> None:
        """Remove a prompt from the pending prefills: it was prefilled, or has failed.

        Args:
            target: Where it was sent.
            admitted: The request.
            duration_s: Time to its first event; None if none arrived.
        """
        tokens = admitted.metadata.prompt_tokens
        self.statistics.record_prefill_end(target, tokens)
        placement = self.placements.get(id(admitted))
        if placement is not None and duration_s is not None:
            self.placement_source.report_prefill_end(placement)
        window = self.get_send_window(target.service)
        window.remove(id(admitted))
        if duration_s is not None and admitted.route.has_context:
            objective_s = admitted.route.objective_s
            window.update_limit(tokens, duration_s, objective_s, self.get_time_s())

    def release(self, target: TargetRecord, admitted: AdmittedRequest) -> None:
        """Subtract a request from its target's load and release its placement."""
        self.statistics.record_end(target, admitted.metadata.prompt_tokens)
        self.cold_sends.drop(admitted)
        placement = self.placements.pop(id(admitted), None)
        if placement is not None:
            self.placement_source.release(placement)
        self.wake_queues()

    def release_unused(self, target: TargetRecord, admitted: AdmittedRequest) -> None:
        """Release a target that the request does not use."""
        self.record_prefill_end(target, admitted, None)
        self.release(target, admitted)
