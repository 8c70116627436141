"""Bootstraps the cluster at the first start, or finds the existing one later.

Every node sends `Hello` to the seeds in its settings. The first seed waits until no
further node with a disk appears, and then proposes a cluster with all of them as
voters. A later seed does so if it still knows no cluster some time later. The cluster
is founded once a majority of the seeds agrees (`founding.py`); all other nodes learn it
from the answers.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable, Collection

from ..control.log_store import make_initial_replica_id
from ..control.raft_messages import Member
from ..errors import LaburnumpitchError
from ..logging import get_logger
from ..policy.voters import get_min_voters
from ..transport.rpc import RpcPool
from .founding import ClusterFounding
from .founding_messages import FoundedCluster
from .messages import FleetSnapshot, Hello, HelloAnswer, NodeRecord

HELLO_INTERVAL_S = 0.15
"""Interval of `Hello` calls while a node belongs to no cluster."""

HELLO_TIMEOUT_S = 0.4
"""Time for an answer to a `Hello`."""

DISCOVERY_QUIET_S = 0.5
"""Time without a newly discovered node after which a seed proposes a cluster; nodes
start within 0.3 s of each other."""

MIN_DISCOVERY_S = 1.0
"""Minimum time for which the first seed discovers nodes."""

MAX_DISCOVERY_S = 3.0
"""Time after which a seed proposes a cluster with fewer voters than tolerate the losses
that the deployment must bear; further nodes become voters later."""

SEED_DELAY_S = 1.0
"""Time that a seed waits in addition for each seed before it in the list, so that they
do not outvote each other."""

RETRY_DELAY_S = (0.3, 1.0)
"""Bounds of the random pause after a proposal on which the seeds did not agree."""


class ClusterBootstrap:
    """Learns the cluster from the seeds, or creates it.

    Args:
        node: This node.
        seeds: Hosts of the seeds, in the same sequence on all nodes.
        is_first_start: Whether a replica may begin as one of the first voters.
        tolerated_losses: Number of voters that may be lost at the same time.
        founding: Agrees on the cluster with the other seeds.
        pool: Connections to other nodes.
        rpc_port: RPC port, the same on every node.
        make_snapshot: Returns this node's view of the fleet, or None without one.
        apply_snapshot: Applies another node's view of the fleet.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        node: NodeRecord,
        seeds: tuple[str, ...],
        is_first_start: bool,
        tolerated_losses: int,
        founding: ClusterFounding,
        pool: RpcPool,
        rpc_port: int,
        make_snapshot: Callable[[], FleetSnapshot | None],
        apply_snapshot: Callable[[FleetSnapshot], None],
        get_time_s: Callable[[], float],
    ) -> None:
        self.node = node
        self.seeds = seeds
        self.is_first_start = is_first_start
        self.tolerated_losses = tolerated_losses
        self.founding = founding
        self.pool = pool
        self.rpc_port = rpc_port
        self.make_snapshot = make_snapshot
        self.apply_snapshot = apply_snapshot
        self.get_time_s = get_time_s
        self.started_s = get_time_s()
        self.last_discovery_s = self.started_s
        self.discovered_nodes: dict[str, NodeRecord] = {}
        if node.has_disk:
            self.discovered_nodes[node.host] = node
        self.cluster_id = ""
        self.members: list[Member] = []
        self.next_proposal_s = 0.0
        """Monotonic time before which this seed makes no further proposal."""
        self.log = get_logger()

    async def on_hello(self, call: Hello) -> HelloAnswer:
        """Record a node that has a disk, and return what is known of the cluster."""
        if call.node.has_disk and call.node.host not in self.discovered_nodes:
            self.discovered_nodes[call.node.host] = call.node
            self.last_discovery_s = self.get_time_s()
        if call.cluster_id and not self.cluster_id:
            self.set_cluster(call.cluster_id, call.members)
            self.log.info("cluster_told", cluster=call.cluster_id, by=call.node.host)
        snapshot = self.make_snapshot() if call.needs_snapshot else None
        return HelloAnswer(self.cluster_id, self.members, snapshot)

    async def join(self, is_joined: Callable[[], bool]) -> None:
        """Call the seeds until the cluster is known; create it if that is due.

        Args:
            is_joined: Returns whether the cluster was found in another way.
        """
        while not self.cluster_id and not is_joined():
            other_seeds = [seed for seed in self.seeds if seed != self.node.host]
            await asyncio.gather(*(self.send_hello(seed) for seed in other_seeds))
            if not self.cluster_id and self.must_propose():
                await self.propose()
            if not self.cluster_id:
                await asyncio.sleep(HELLO_INTERVAL_S)

    async def send_hello(self, seed: str) -> None:
        """Send `Hello` to one seed and apply its answer."""
        client = self.pool.get(f"{seed}:{self.rpc_port}")
        try:
            answer = await client.call(
                Hello(self.node, self.cluster_id, self.members, True), HELLO_TIMEOUT_S
            )
        except LaburnumpitchError:
            return
        if answer.snapshot is not None:
            self.apply_snapshot(answer.snapshot)
        if answer.cluster_id and not self.cluster_id:
            self.set_cluster(answer.cluster_id, answer.members)

    def set_cluster(self, cluster_id: str, members: list[Member]) -> None:
        """Set the cluster's identifier and members."""
        self.cluster_id = cluster_id
        self.members = members
        self.founding.has_cluster = True

    def forget_first_start(self) -> None:
        """Take no part in the first start any more, as the disk was emptied."""
        self.is_first_start = False
        self.founding.may_found = False

    async def notify_seeds(self, subscribers: Collection[str]) -> None:
        """Send the cluster to seeds that do not subscribe to the leader.

        After a change of the seeds, nodes with empty disks may only know seeds that
        have not joined the cluster either, so its nodes have to contact them.

        Args:
            subscribers: Hosts that subscribe to the leader.
        """
        call = Hello(self.node, self.cluster_id, self.members, False)
        for seed in self.seeds:
            if seed != self.node.host and seed not in subscribers:
                self.pool.get(f"{seed}:{self.rpc_port}").notify(call)

    def must_propose(self) -> bool:
        """Whether this node has to propose a cluster now."""
        if not self.founding.may_found or not self.discovered_nodes:
            return False
        if self.node.host not in self.founding.seeds:
            return False
        now_s = self.get_time_s()
        if now_s < self.next_proposal_s:
            return False
        age_s = now_s - self.started_s
        min_voters = get_min_voters(self.tolerated_losses)
        if len(self.discovered_nodes) < min_voters and age_s < MAX_DISCOVERY_S:
            return False
        seed_index = self.founding.seeds.index(self.node.host)
        min_age_s = MIN_DISCOVERY_S + seed_index * SEED_DELAY_S
        return age_s >= min_age_s and now_s - self.last_discovery_s >= DISCOVERY_QUIET_S

    async def propose(self) -> None:
        """Propose a cluster whose first voters are the discovered nodes."""
        cluster_id = uuid.uuid4().hex[:8]
        members = [
            Member(
                make_initial_replica_id(host, cluster_id), host, node.rpc_address, True
            )
            for host, node in sorted(self.discovered_nodes.items())
        ]
        founded = await self.founding.propose(FoundedCluster(cluster_id, members))
        self.next_proposal_s = self.get_time_s() + random.uniform(*RETRY_DELAY_S)
        if founded is None or self.cluster_id:
            return
        self.set_cluster(founded.cluster_id, founded.members)
        self.log.info(
            "cluster_founded",
            cluster=founded.cluster_id,
            voters=",".join(member.name for member in founded.members),
            is_own_proposal=founded.cluster_id == cluster_id,
        )
