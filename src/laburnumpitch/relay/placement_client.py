"""Requests placements from the coordinators of services, and releases them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import LaburnumpitchError, NotCoordinatorError, RpcTimeoutError
from ..fleet.fleet_view import FleetView
from ..fleet.messages import PlaceAnswer, PlaceCall, PlaceProgress
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.rpc import RpcPool
from .coordinator import Coordinator, make_assignment_key

REQUEST_TIMEOUT_S = 0.03
"""Timeout of a call to a coordinator: a round trip between data centres and some
work."""

LATE_ANSWER_S = 5.0
"""Time for which a late answer is awaited to release its placement; a node that hangs
for a moment may still assign one."""

COORDINATOR_BACKOFF_S = 0.4
"""Time for which a coordinator that did not answer is not called."""

FLUSH_DELAY_S = 0.01
"""Time for which progress is collected before it is sent in one notice."""


@dataclass
class PendingProgress:
    """Progress of placements that is not sent yet."""

    prefilled: list[int] = field(default_factory=list)
    """Numbers of placements whose prefill has ended."""
    released: list[int] = field(default_factory=list)
    """Numbers of placements that are released."""


@dataclass(frozen=True)
class Placement:
    """The right to send one request to a target, assigned by a coordinator."""

    service: str
    host: str
    """Host of the coordinator."""
    number: int
    """Identifies the placement at its coordinator."""


class PlacementClient:
    """Calls the coordinators of services.

    Args:
        fleet_view: This node's copy of the fleet's state.
        coordinator: This node's own coordinator.
        pool: Connections to other nodes.
        rpc_port: Port of every node.
        metrics: Records measurements.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        coordinator: Coordinator,
        pool: RpcPool,
        rpc_port: int,
        metrics: Metrics,
        get_time_s: Callable[[], float],
    ) -> None:
        self.fleet_view = fleet_view
        self.coordinator = coordinator
        self.pool = pool
        self.rpc_port = rpc_port
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.backoff_until_s: dict[str, float] = {}
        """Until when hosts that did not answer are not called."""
        self.pending_progress: dict[tuple[str, str], PendingProgress] = {}
        """Unsent progress by host and service."""
        self.flush_timer: asyncio.TimerHandle | None = None
        self.pending_calls: set[asyncio.Future[PlaceAnswer]] = set()
        self.log = get_logger()

    def close(self) -> None:
        """Cancel pending calls and send no more progress."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        for pending_call in list(self.pending_calls):
            pending_call.cancel()

    def find_coordinator(self, service: str) -> str | None:
        """Return the host of a service's coordinator, or None if it is in backoff."""
        host = self.fleet_view.assignments.get(make_assignment_key(service))
        if host is None or self.backoff_until_s.get(host, 0.0) > self.get_time_s():
            return None
        return host

    async def request_placement(
        self, call: PlaceCall
    ) -> tuple[PlaceAnswer, Placement | None] | None:
        """Return the answer and the placement, or None without an answer."""
        host = self.find_coordinator(call.service)
        if host is None:
            return None
        try:
            if host == self.fleet_view.node.host:
                answer = await self.coordinator.on_place_call(call)
            else:
                answer = await self.request_from_host(host, call)
        except LaburnumpitchError as error:
            # The request does not fail: the node chooses a target by its own data.
            self.metrics.count("place.unanswered")
            self.backoff_until_s[host] = self.get_time_s() + COORDINATOR_BACKOFF_S
            if error.code != NotCoordinatorError.code:
                self.log.info(
                    "coordinator_silent",
                    host=host,
                    service=call.service,
                    code=error.code,
                )
            return None
        if not answer.target_id:
            return answer, None
        return answer, Placement(call.service, host, answer.number)

    async def request_from_host(self, host: str, call: PlaceCall) -> PlaceAnswer:
        """Call another node; a placement that arrives too late is released.

        Raises:
            RpcTimeoutError: If it does not answer in time.
            LaburnumpitchError: The error that it answers.
        """
        client = self.pool.get(f"{host}:{self.rpc_port}")
        pending_call = client.start_call(call, LATE_ANSWER_S)
        self.pending_calls.add(pending_call)
        pending_call.add_done_callback(self.pending_calls.discard)
        try:
            done, _ = await asyncio.wait({pending_call}, timeout=REQUEST_TIMEOUT_S)
            if not done:
                raise RpcTimeoutError(f"placement for {call.service} from {host}")
            return pending_call.result()
        except (RpcTimeoutError, asyncio.CancelledError):
            pending_call.add_done_callback(
                lambda ended_call: self.release_late(host, call.service, ended_call)
            )
            raise

    def release_late(
        self, host: str, service: str, pending_call: asyncio.Future[PlaceAnswer]
    ) -> None:
        """Release the placement of a call that nobody waits for any more."""
        if pending_call.cancelled() or pending_call.exception() is not None:
            return
        answer = pending_call.result()
        if answer.target_id:
            self.release(Placement(service, host, answer.number))

    def report_prefill_end(self, placement: Placement) -> None:
        """Report that the prefill of a placement's prompt has ended."""
        self.schedule_progress(placement).prefilled.append(placement.number)

    def release(self, placement: Placement) -> None:
        """Report that a placement is released."""
        self.schedule_progress(placement).released.append(placement.number)

    def schedule_progress(self, placement: Placement) -> PendingProgress:
        """Return the progress for a placement's coordinator and schedule a flush."""
        if self.flush_timer is None:
            loop = asyncio.get_running_loop()
            self.flush_timer = loop.call_later(FLUSH_DELAY_S, self.flush)
        return self.pending_progress.setdefault(
            (placement.host, placement.service), PendingProgress()
        )

    def flush(self) -> None:
        """Send the collected progress to the coordinators."""
        self.flush_timer = None
        pending, self.pending_progress = self.pending_progress, {}
        for (host, service), progress in pending.items():
            notice = PlaceProgress(service, progress.prefilled, progress.released)
            if host == self.fleet_view.node.host:
                self.coordinator.apply_progress(notice)
            else:
                self.pool.get(f"{host}:{self.rpc_port}").notify(notice)
