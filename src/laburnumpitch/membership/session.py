"""A node's session with the control leader: heartbeats, lease, configuration."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from msgspec.structs import replace

from .._tasks import cancel_and_wait, start_loop
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
"""Interval between heartbeats, unless a change has to be reported at once."""

HEARTBEAT_TIMEOUT_S = 2.0
"""Time for one heartbeat, including attempts at several control replicas."""


class Session:
    """Keeps this node's lease, view and configuration current.

    Args:
        control_client: Client of the control leader.
        node: This node's description for the other nodes.
        metrics: Registry for measurements.
        get_time_s: Returns the monotonic time.
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
        """Whether the lease was valid when a change was last logged."""
        self.announced_targets: dict[str, TargetInfo] = {}
        """Latest announcement of each target since the last heartbeat."""
        self.changed_loads: dict[str, TargetLoad] = {}
        """Loads to report with the next heartbeat, by target."""
        self.targets_to_resend: frozenset[str] = frozenset()
        """Targets that the leader lacks, which are reported even if unchanged."""
        self.heartbeat_due = asyncio.Event()
        """Set to send the next heartbeat before its interval has passed."""
        self.log = get_logger()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start sending heartbeats."""
        self.task = start_loop("session", self.run)

    async def close(self) -> None:
        """Stop sending heartbeats. The lease is not returned; it expires."""
        await cancel_and_wait(self.task)

    @property
    def has_lease(self) -> bool:
        """Whether the lease is valid, so that the configuration here is in force."""
        return self.get_time_s() < self.lease_end_s

    def require_lease(self) -> None:
        """Check that this node may accept new work.

        Raises:
            NoLeaseError: If it has no valid lease.
        """
        if not self.has_lease:
            raise NoLeaseError("this node has no valid control lease", retry_after_s=1)

    def record_announcement(self, target: TargetInfo, load: TargetLoad) -> None:
        """Update the view from a target's announcement; report it with a heartbeat.

        A target that is new or has changed its state is reported at once.
        """
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
        """Announce to the other nodes that this node is shutting down."""
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
        """Send one heartbeat and apply the answer.

        If it fails, its announcements and loads are kept for the next one.
        """
        announced_targets, self.announced_targets = self.announced_targets, {}
        changed_loads, self.changed_loads = self.changed_loads, {}
        heartbeat = self.make_heartbeat(announced_targets, changed_loads)
        # The lease is counted from before the request, so that it expires on this
        # node before it expires at the leader.
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
        """Return a heartbeat with the announcements that the leader may not have."""
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
        """Put the configuration in force, apply the changes, then extend the lease.

        An answer with an older revision than the one in force is ignored.
        """
        if answer.revision < self.configuration.revision:
            self.log.error("older_revision_refused", revision=answer.revision)
            return
        if self.configuration.apply_revision(answer.revision, answer.sections):
            self.log.info("revision_in_force", revision=answer.revision)
            self.metrics.set_gauge("config.revision", answer.revision)
            # A heartbeat confirms to the leader that the revision is in force here.
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
        """Log and count if the lease was gained or lost."""
        if self.has_lease == self.had_lease:
            return
        self.had_lease = self.has_lease
        event = "lease_gained" if self.has_lease else "lease_lost"
        self.log.info(event, revision=self.configuration.revision)
        if not self.has_lease:
            self.metrics.count("lease.lost")
