"""What all runs of a node share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..errors import LaburnumpitchError
from ..fleet.fleet_view import FleetView
from ..fleet.leader_client import LeaderClient
from ..fleet.messages import TargetDied, TargetRecord, TargetUnreachable
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.http_client import HttpClientPool
from ..transport.http_server import Headers
from .board import TargetBoard
from .context_planner import ContextPlanner
from .dispatcher import Dispatcher
from .request import Admitted, Translator
from .retry_share import RetryShare

NOTICE_TIMEOUT_S = 1.5
"""Time to tell the leader of a target's trouble."""

TELL_S = 0.7
"""Least time between two notices of one target."""


class RelayServices:
    """Parts that the runs of a node share.

    Args:
        follower: This node's view of the fleet.
        dispatcher: Places requests on targets.
        planner: Plans where targets find kept context.
        board: What this node has seen of each target.
        translator: The platform's words.
        retry_share: Bounds repeats.
        leader: Finds the leader.
        metrics: Where measurements go.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        follower: FleetView,
        dispatcher: Dispatcher,
        planner: ContextPlanner,
        board: TargetBoard,
        translator: Translator,
        retry_share: RetryShare,
        leader: LeaderClient,
        metrics: Metrics,
        get_time_s: Callable[[], float],
    ) -> None:
        self.follower = follower
        self.dispatcher = dispatcher
        self.planner = planner
        self.board = board
        self.translator = translator
        self.retry_share = retry_share
        self.leader = leader
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.clients = HttpClientPool()
        self.told_s: dict[str, float] = {}
        """When the leader was last told of a target."""
        self.tasks: set[asyncio.Task[Any]] = set()
        self.log = get_logger()
        follower.on_change.append(self.retain_clients)

    def close(self) -> None:
        """Close the connections to targets."""
        self.clients.close()
        for task in list(self.tasks):
            task.cancel()

    def retain_clients(self) -> None:
        """Close idle connections to addresses that no target has."""
        records = self.follower.targets.get_records()
        self.clients.retain({record.address for record in records})

    def has_organisations(self) -> bool:
        """Whether the configuration in force knows organisations."""
        configuration = self.follower.configuration
        return configuration is not None and bool(configuration.organisations)

    def make_answer_headers(self, headers: Headers) -> Headers:
        """Return a target's headers for the client."""
        return self.translator.make_answer_headers(headers)

    def take_repeat(self, service: str) -> bool:
        """Spend a repeat, and return whether there was one."""
        is_allowed = self.retry_share.take(service)
        if is_allowed:
            self.metrics.count("request.retried")
        return is_allowed

    def note_first_event(self, duration_s: float) -> None:
        """Measure the time to the first event."""
        self.metrics.time("request.first_token", duration_s)

    def note_outcome(
        self,
        outcome: str,
        admitted: Admitted,
        target: TargetRecord,
        error: LaburnumpitchError,
    ) -> None:
        """Log what became of one sending."""
        seen = self.board.get(target.target_id)
        self.log.info(
            f"sending_{outcome}",
            request=admitted.facts.request_id,
            target=target.target_id,
            service=target.service,
            code=error.code,
            detail=error.detail,
            running=seen.running,
            failure_rate=round(seen.failure_rate, 2),
            silent=target.is_silent,
            view=self.follower.sequence,
        )

    def note_unreachable(self, target: TargetRecord) -> None:
        """Tell the leader of a target that cannot be reached, now and then."""
        now_s = self.get_time_s()
        if target.is_silent or now_s < self.told_s.get(target.target_id, 0) + TELL_S:
            return
        self.told_s[target.target_id] = now_s
        self.start_telling(TargetUnreachable(target.target_id))

    def start_telling(self, notice: TargetDied | TargetUnreachable) -> None:
        """Send a notice to the leader without waiting."""
        task = asyncio.create_task(self.tell(notice))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def note_death(self, admitted: Admitted, target: TargetRecord) -> None:
        """Tell the leader that a target died while it ran a request."""
        self.start_telling(
            TargetDied(admitted.fingerprint, target.target_id, target.born_ms)
        )

    async def tell(self, notice: TargetDied | TargetUnreachable) -> None:
        """Send a notice to the leader."""
        try:
            await self.leader.call(notice, NOTICE_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.log.info(
                "notice_untold", notice=type(notice).__name__, code=error.code
            )
