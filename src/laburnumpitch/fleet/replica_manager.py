"""Opens and maintains a node's replica of the fleet's state, on nodes with a disk."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable, Iterable
from pathlib import Path

from .._tasks import cancel_and_wait, start_loop
from ..control.log_store import (
    LogStore,
    create_identity,
    make_unique_replica_id,
    remove_identity,
)
from ..control.raft import LEADER
from ..control.raft_messages import Member
from ..control.replica import Replica
from ..errors import LaburnumpitchError, LogCorruptError, NotLeaderError
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.rpc import RpcPool
from .bootstrap import ClusterBootstrap
from .fleet_publisher import FleetPublisher
from .fleet_state import FleetState
from .leader_client import LeaderClient
from .messages import FleetFacts, JoinCore, NodeRecord
from .target_table import TargetEntry
from .voter_set import VoterSet

JOIN_INTERVAL_S = 0.3
"""Interval of checks whether the replica can be opened or was removed, of its requests
to become a voter, and of the leader's checks for lost voters."""

REMOVAL_SILENCE_S = 1.0
"""Time without an entry or heartbeat of a leader after which a replica that is missing
in the leader's members has been removed; members get one each 0.1 s."""

JOIN_TIMEOUT_S = 1.0
"""Time for one request to become a voter."""

SNAPSHOT_THRESHOLD_ENTRIES = 1000
"""Applied log entries since the last snapshot after which a new one is taken; a
configuration takes several KB in the log, and the disk has some tens of MB."""


class ReplicaManager:
    """Brings a node's replica from an empty disk to a voter, and reopens it on failure.

    Args:
        node: This node.
        folder: Data folder.
        pool: Connections to other nodes.
        bootstrap: Learns or creates the cluster.
        leader_client: Sends calls to the leader.
        voter_set: Changes the voters while this replica leads.
        metrics: Metrics of this node.
        announce_interval_s: Interval of the targets' announcements.
        list_assignment_names: Returns the names of all assignments, each of which
            needs one node: addresses of stores, and names of services' coordinators.
        get_facts: Returns this node's copy of the fleet's facts; None without any.
        list_members: Returns the members as the leader has published them; none
            without contact with a leader.
        is_known_service: Returns whether a service is configured.
        list_targets: Returns this node's copy of the targets.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        node: NodeRecord,
        folder: Path,
        pool: RpcPool,
        bootstrap: ClusterBootstrap,
        leader_client: LeaderClient,
        voter_set: VoterSet,
        metrics: Metrics,
        announce_interval_s: float,
        list_assignment_names: Callable[[], list[str]],
        get_facts: Callable[[], FleetFacts | None],
        list_members: Callable[[], list[Member]],
        is_known_service: Callable[[str], bool],
        list_targets: Callable[[], Iterable[TargetEntry]],
        get_time_s: Callable[[], float],
    ) -> None:
        self.node = node
        self.folder = folder
        self.pool = pool
        self.bootstrap = bootstrap
        self.leader_client = leader_client
        self.voter_set = voter_set
        self.metrics = metrics
        self.announce_interval_s = announce_interval_s
        self.list_assignment_names = list_assignment_names
        self.get_facts = get_facts
        self.list_members = list_members
        self.is_known_service = is_known_service
        self.list_targets = list_targets
        self.get_time_s = get_time_s
        self.replica: Replica | None = None
        self.publisher: FleetPublisher | None = None
        self.publisher_task: asyncio.Task[None] | None = None
        self.join_task: asyncio.Task[None] | None = None
        self.log = get_logger()

    async def start(self) -> None:
        """Open the replica if the disk holds one; start the task that maintains it."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            self.log.error("disk_failed", detail=str(error))
        if LogStore(self.folder).has_identity():
            try:
                await self.open()
            except LogCorruptError as error:
                self.log.error("log_corrupt", detail=error.detail)
                self.wipe()
            except OSError as error:
                # A disk may be full or refuse writes for a time; `run` tries again.
                self.log.error("disk_failed", detail=str(error))
        self.join_task = start_loop("replica_manager", self.run)

    async def close(self) -> None:
        """Stop the task and the replica."""
        await cancel_and_wait(self.join_task)
        await self.close_replica()

    async def close_replica(self) -> None:
        """Stop the replica and the publisher on it."""
        await cancel_and_wait(self.publisher_task)
        if self.replica is not None:
            replica, self.replica, self.publisher = self.replica, None, None
            await replica.close()

    async def open(self) -> None:
        """Start the replica whose identity is in the folder.

        Raises:
            LogCorruptError: If a file is corrupt.
        """
        store = LogStore(self.folder)
        identity = store.load_identity()
        replica = Replica(
            store,
            self.pool,
            {},
            self.metrics,
            FleetState,
            self.get_time_s,
            SNAPSHOT_THRESHOLD_ENTRIES,
            self.leader_client.find_address,
        )
        await replica.start()
        self.bootstrap.set_cluster(identity.cluster_id, replica.core.members)
        self.leader_client.set_hosts(
            [
                *self.leader_client.replica_names,
                *(member.name for member in replica.core.members),
            ]
        )
        self.publisher = FleetPublisher(
            replica,
            self.announce_interval_s,
            self.list_assignment_names,
            self.get_facts,
            self.is_known_service,
            self.get_time_s,
            self.list_targets,
        )
        self.publisher_task = start_loop("fleet_publisher", self.publisher.run)
        self.replica = replica

    def wipe(self) -> None:
        """Delete the files of a replica that is corrupt or was removed.

        The node must not begin as one of the first voters any more. The identity goes
        first, since a replica that has it and no log would vote without its memory.
        """
        self.bootstrap.forget_first_start()
        remove_identity(self.folder)
        for path in self.folder.iterdir():
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()

    async def run(self) -> None:
        """Keep the replica open and a voter until cancelled; retry after failures."""
        while True:
            try:
                if self.replica is None:
                    await self.initialize()
                elif self.replica.is_failed:
                    await self.reopen()
                elif self.is_removed():
                    await self.reset()
                elif not self.is_voter():
                    await self.request_voter_role()
                else:
                    await self.voter_set.remove_lost_voter(self.replica)
            except LaburnumpitchError as error:
                self.log.info("join_failed", code=error.code, detail=error.detail)
            except OSError as error:
                self.log.error("disk_failed", detail=str(error))
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def initialize(self) -> None:
        """Create an identity once the cluster is known, and open the replica.

        Only at the cluster's first start does a replica begin as one of the first
        voters; any other replica with an empty disk gets a new identity and must be
        added by the leader.
        """
        cluster_id = self.bootstrap.cluster_id
        if not cluster_id:
            return
        if not LogStore(self.folder).has_identity():
            own_members = [
                m for m in self.bootstrap.members if m.name == self.node.host
            ]
            if own_members and self.bootstrap.is_first_start:
                members, replica_id = self.bootstrap.members, own_members[0].replica_id
            else:
                members, replica_id = [], make_unique_replica_id(self.node.host)
            create_identity(self.folder, cluster_id, replica_id, members)
        await self.open()

    async def reopen(self) -> None:
        """Open the replica again from its files after a failed write."""
        self.log.warning("replica_reopened", folder=str(self.folder))
        await self.close_replica()
        await self.open()

    def is_voter(self) -> bool:
        """Whether this replica is a voter, according to its own copy of the log."""
        replica = self.replica
        return replica is not None and replica.core.replica_id in replica.core.voters

    async def request_voter_role(self) -> None:
        """Ask the leader to make this replica a voter."""
        replica = self.require_replica()
        call = JoinCore(
            self.bootstrap.cluster_id,
            replica.core.replica_id,
            self.node.host,
            self.node.rpc_address,
        )
        await self.leader_client.call(call, JOIN_TIMEOUT_S)

    def require_replica(self) -> Replica:
        """Return the replica.

        Raises:
            NotLeaderError: If no replica is open.
        """
        if self.replica is None:
            raise NotLeaderError("")
        return self.replica

    def is_removed(self) -> bool:
        """Whether the cluster has removed this replica, which still is a voter itself.

        A replica that was replaced while it was unreachable must not vote again. The
        leader's list may be a little older than the replica's log, but the leader sends
        entries to members only.
        """
        replica, members = self.replica, self.list_members()
        if replica is None or not members or not self.is_voter():
            return False
        silence_s = self.get_time_s() - replica.core.last_leader_contact_s
        if replica.core.role == LEADER or silence_s < REMOVAL_SILENCE_S:
            return False
        return replica.core.replica_id not in {m.replica_id for m in members}

    async def reset(self) -> None:
        """Delete this replica; the node then joins with a new one."""
        self.log.warning("replica_replaced", replica=self.replica.core.replica_id)
        await self.close_replica()
        self.wipe()
