"""A node's replica of the fleet's state, on nodes that have a disk."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable
from pathlib import Path

from .._tasks import cancel_and_wait
from ..control.log_store import LogStore, create_identity, make_replica_id
from ..control.raft_messages import Member
from ..control.replica import Replica
from ..errors import LaburnumpitchError, LogCorruptError, NotLeaderError
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.rpc import RpcPool
from .fleet_state import FleetState
from .founding import Founding
from .hub import Hub
from .leader_client import LeaderClient
from .messages import JoinCore, NodeRecord

JOIN_INTERVAL_S = 0.3
"""Interval at which a replica with an empty disk asks to vote."""

JOIN_TIMEOUT_S = 1.0
"""Time for one such call."""

SNAPSHOT_ENTRIES = 1000
"""Entries after which the log becomes a snapshot; a configuration is several KB and
a disk some tens of MB."""


class Core:
    """The replica of one node, from an empty disk to a vote.

    Args:
        node: This node.
        folder: Data folder.
        pool: Connections to other nodes.
        founding: How the cluster becomes known.
        leader: Finds the leader.
        metrics: Where measurements go.
        interval_s: Interval of the targets' announcements.
        list_duties: Returns names of what needs one node each: stores by their
            addresses, and services whose places are handed out.
        get_keepers: Returns the store keepers that this node knows.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        node: NodeRecord,
        folder: Path,
        pool: RpcPool,
        founding: Founding,
        leader: LeaderClient,
        metrics: Metrics,
        interval_s: float,
        list_duties: Callable[[], list[str]],
        get_keepers: Callable[[], dict[str, str]],
        get_time_s: Callable[[], float],
    ) -> None:
        self.node = node
        self.folder = folder
        self.pool = pool
        self.founding = founding
        self.leader = leader
        self.metrics = metrics
        self.interval_s = interval_s
        self.list_duties = list_duties
        self.get_keepers = get_keepers
        self.get_time_s = get_time_s
        self.replica: Replica | None = None
        self.hub: Hub | None = None
        self.hub_task: asyncio.Task[None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.log = get_logger()

    async def start(self) -> None:
        """Take part at once if the disk has an identity, else as it gets one."""
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
                # The disk may be full or refuse writes for a while.
                self.log.error("disk_failed", detail=str(error))
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Stop taking part."""
        await cancel_and_wait(self.task)
        await self.close_replica()

    async def close_replica(self) -> None:
        """Stop the replica."""
        await cancel_and_wait(self.hub_task)
        if self.replica is not None:
            replica, self.replica, self.hub = self.replica, None, None
            await replica.close()

    async def open(self) -> None:
        """Start the replica that the folder belongs to.

        Raises:
            LogCorruptError: If a file is damaged.
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
            SNAPSHOT_ENTRIES,
            self.leader.find_address,
        )
        await replica.start()
        self.founding.take(identity.cluster_id, replica.core.members)
        self.leader.set_hosts(
            [
                *self.leader.replica_names,
                *(member.name for member in replica.core.members),
            ]
        )
        self.hub = Hub(
            replica,
            self.interval_s,
            self.list_duties,
            self.get_keepers,
            self.get_time_s,
        )
        self.hub_task = asyncio.create_task(self.hub.run())
        self.replica = replica

    def wipe(self) -> None:
        """Forget a replica that cannot or must not take part any more."""
        for path in self.folder.iterdir():
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()

    async def run(self) -> None:
        """Get an identity and a vote, and again if the vote is lost."""
        while True:
            try:
                if self.replica is None:
                    await self.enter()
                elif self.replica.is_failed:
                    await self.reopen()
                elif not self.is_voter():
                    await self.ask_vote()
            except LaburnumpitchError as error:
                self.log.info("join_failed", code=error.code, detail=error.detail)
            except OSError as error:
                self.log.error("disk_failed", detail=str(error))
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def enter(self) -> None:
        """Give the folder an identity once the cluster is known."""
        cluster_id = self.founding.cluster_id
        if not cluster_id:
            return
        if not LogStore(self.folder).has_identity():
            own = [m for m in self.founding.members if m.name == self.node.host]
            if own and self.founding.is_first_start:
                members, replica_id = self.founding.members, own[0].replica_id
            else:
                members, replica_id = [], make_replica_id(self.node.host)
            create_identity(self.folder, cluster_id, replica_id, members)
        await self.open()

    async def reopen(self) -> None:
        """Start again from the disk after a failed write."""
        self.log.warning("replica_reopened", folder=str(self.folder))
        await self.close_replica()
        await self.open()

    def is_voter(self) -> bool:
        """Whether this replica votes, as far as it knows."""
        replica = self.replica
        return replica is not None and replica.core.replica_id in replica.core.voters

    async def ask_vote(self) -> None:
        """Ask the leader to let this replica vote."""
        replica = self.require_replica()
        call = JoinCore(
            self.founding.cluster_id,
            replica.core.replica_id,
            self.node.host,
            self.node.rpc_address,
        )
        await self.leader.call(call, JOIN_TIMEOUT_S)

    def require_replica(self) -> Replica:
        """Return the replica.

        Raises:
            NotLeaderError: If there is none.
        """
        if self.replica is None:
            raise NotLeaderError("")
        return self.replica

    async def check_members(self, members: list[Member]) -> None:
        """Begin anew if the leader no longer knows this replica.

        A replica that was replaced while it was away must not vote again.
        """
        replica = self.replica
        if replica is None or not members or replica.core.role == "leader":
            return
        known = {member.replica_id for member in members}
        if replica.core.replica_id in known or not self.is_voter():
            return
        self.log.warning("replica_replaced", replica=replica.core.replica_id)
        await self.close_replica()
        self.wipe()
        self.founding.is_first_start = False
