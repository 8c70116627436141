"""A node's session with the control leader: heartbeats, lease, configuration."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from .._tasks import cancel_and_wait
from ..errors import ForbiddenError, LaburnumpitchError, NoLeaseError
from ..logging import get_logger
from ..metrics import Metrics
from .cluster_view import ClusterView
from .configuration import Configuration
from .control_client import ControlClient
from .load_codec import quantise_load
from .messages import (
    Heartbeat,
    HeartbeatAnswer,
    NodeInfo,
    SuspectInfo,
    TargetInfo,
    TargetLoad,
)

HEARTBEAT_INTERVAL_S = 0.5
"""Interval of heartbeats while nothing is urgent."""

HEARTBEAT_TIMEOUT_S = 2.0
"""Time for one heartbeat over all control replicas."""


class Session:
    """Keeps this node's lease, view and configuration current.

    Args:
        control: Client of the control leader.
        node: This node as the others shall see it.
        metrics: Where measurements go.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        control_client: ControlClient,
        node: NodeInfo,
        metrics: Metrics,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.control_client = control_client
        self.node = node
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.view = ClusterView()
        self.configuration = Configuration()
        self.suspects: dict[str, SuspectInfo] = {}
        self.suspect_version = -1
        self.lease_end_s = float("-inf")
        self.had_lease = False
        self.announced_targets: dict[str, TargetInfo] = {}
        """Targets heard since the last heartbeat."""
        self.changed_loads: dict[str, TargetLoad] = {}
        """Loads heard since the last heartbeat."""
        self.targets_to_resend: frozenset[str] = frozenset()
        """Targets that the leader asked to be told of in full."""
        self.heartbeat_due = asyncio.Event()
        self.log = get_logger()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to send heartbeats."""
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Stop; the lease runs out by itself."""
        await cancel_and_wait(self.task)

    @property
    def has_lease(self) -> bool:
        """Whether this node's configuration is certainly in force."""
        return self.get_time_s() < self.lease_end_s

    def require_lease(self) -> None:
        """Check that this node may take new work.

        Raises:
            NoLeaseError: If it may not.
        """
        if not self.has_lease:
            raise NoLeaseError("this node is cut off from control", retry_after_s=1)

    def record_announcement(self, target: TargetInfo, load: TargetLoad) -> None:
        """Take a target's announcement, to pass on with the next heartbeat."""
        load = quantise_load(load)
        self.announced_targets[target.target_id] = target
        known_load = self.view.loads.get(target.target_id)
        is_changed = (
            known_load is None
            or replace(load, sequence=known_load.sequence) != known_load
        )
        if is_changed or target.target_id in self.targets_to_resend:
            self.changed_loads[target.target_id] = load
        self.view.record_load(load)
        known_target = self.view.targets.items.get(target.target_id)
        if target.state != "active":
            self.view.record_leaving(target)
        if known_target is None or known_target.state != target.state:
            self.heartbeat_due.set()

    def start_draining(self) -> None:
        """Tell the others that this node shuts down."""
        self.node = replace(self.node, is_draining=True)
        self.heartbeat_due.set()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.heartbeat_due.clear()
            try:
                await self.send_heartbeat()
            except ForbiddenError as error:
                self.log.error("session_refused", detail=error.detail)
            except LaburnumpitchError as error:
                self.log.info("heartbeat_failed", code=error.code)
            self.record_lease_change()
            try:
                await asyncio.wait_for(self.heartbeat_due.wait(), HEARTBEAT_INTERVAL_S)
            except asyncio.TimeoutError:
                pass

    async def send_heartbeat(self) -> None:
        """Report once and take what the leader sends."""
        announced_targets, self.announced_targets = self.announced_targets, {}
        changed_loads, self.changed_loads = self.changed_loads, {}
        heartbeat = self.make_heartbeat(announced_targets, changed_loads)
        # The lease counts from before the request, so that it ends here before
        # it ends at the leader.
        sent_s = self.get_time_s()
        try:
            answer = await self.control_client.call(heartbeat, HEARTBEAT_TIMEOUT_S)
        except LaburnumpitchError:
            self.announced_targets = {**announced_targets, **self.announced_targets}
            self.changed_loads = {**changed_loads, **self.changed_loads}
            raise
        self.apply_answer(answer, sent_s)

    def make_heartbeat(
        self,
        announced_targets: dict[str, TargetInfo],
        changed_loads: dict[str, TargetLoad],
    ) -> Heartbeat:
        """Return a report of what differs from the view."""
        known_targets = self.view.targets.items
        return Heartbeat(
            self.node,
            self.configuration.revision,
            self.view.cursor,
            self.suspect_version,
            [
                item
                for target_id, item in announced_targets.items()
                if known_targets.get(target_id) != item
                or target_id in self.targets_to_resend
            ],
            list(announced_targets),
            list(changed_loads.values()),
        )

    def apply_answer(self, answer: HeartbeatAnswer, sent_s: float) -> None:
        """Put the configuration in force, then count the lease."""
        if answer.revision < self.configuration.revision:
            self.log.error("older_revision_refused", revision=answer.revision)
            return
        if self.configuration.apply_revision(answer.revision, answer.sections):
            self.log.info("revision_in_force", revision=answer.revision)
            self.metrics.set_gauge("config.revision", answer.revision)
            # The leader learns at once that the revision is in force here.
            self.heartbeat_due.set()
        self.targets_to_resend = frozenset(answer.unknown_targets)
        self.view.drained_targets = frozenset(answer.drained_targets)
        self.view.apply_delta(answer.view)
        if answer.suspects is not None:
            self.suspects = {item.fingerprint: item for item in answer.suspects}
            self.suspect_version = answer.suspect_version
            self.metrics.set_gauge("quarantine.fingerprints", len(self.suspects))
        self.lease_end_s = max(self.lease_end_s, sent_s + answer.lease_s)

    def record_lease_change(self) -> None:
        """Log changes between having a lease and not."""
        if self.has_lease == self.had_lease:
            return
        self.had_lease = self.has_lease
        event = "lease_gained" if self.has_lease else "lease_lost"
        self.log.info(event, revision=self.configuration.revision)
        if not self.has_lease:
            self.metrics.count("lease.lost")
