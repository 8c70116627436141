"""Bootstraps the cluster at the first start, or finds the existing one later.

Every node sends `Hello` to the seeds in its settings. The first seed waits until no
further node with a disk appears, and then creates the cluster with all of them as
voters. All other nodes learn the cluster from the answers. A later seed creates it
only if none of the seeds before it answers.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable, Collection

from ..control.log_store import make_initial_replica_id
from ..control.raft_messages import Member
from ..errors import LaburnumpitchError
from ..logging import get_logger
from ..transport.rpc import RpcPool
from .messages import FleetSnapshot, Hello, HelloAnswer, NodeRecord

HELLO_INTERVAL_S = 0.15
"""Interval of `Hello` calls while a node belongs to no cluster."""

HELLO_TIMEOUT_S = 0.4
"""Time for an answer to a `Hello`."""

DISCOVERY_QUIET_S = 0.5
"""Time without a newly discovered node after which the first seed creates the cluster;
nodes start within 0.3 s of each other."""

MIN_DISCOVERY_S = 1.0
"""Minimum time for which the first seed discovers nodes."""

SEED_FALLBACK_DELAY_S = 3.0
"""Time that a seed waits in addition for each seed before it in the list."""


class ClusterBootstrap:
    """Learns the cluster from the seeds, or creates it.

    Args:
        node: This node.
        seeds: Hosts of the seeds, in the same sequence on all nodes.
        is_first_start: Whether a cluster may be created.
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
        pool: RpcPool,
        rpc_port: int,
        make_snapshot: Callable[[], FleetSnapshot | None],
        apply_snapshot: Callable[[FleetSnapshot], None],
        get_time_s: Callable[[], float],
    ) -> None:
        self.node = node
        self.seeds = seeds
        self.is_first_start = is_first_start
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
        self.answered_seeds: set[str] = set()
        """Seeds that have answered a `Hello`."""
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
            if not self.cluster_id and self.must_create_cluster():
                self.create_cluster()
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
        self.answered_seeds.add(seed)
        if answer.snapshot is not None:
            self.apply_snapshot(answer.snapshot)
        if answer.cluster_id and not self.cluster_id:
            self.set_cluster(answer.cluster_id, answer.members)

    def set_cluster(self, cluster_id: str, members: list[Member]) -> None:
        """Set the cluster's identifier and members."""
        self.cluster_id = cluster_id
        self.members = members

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

    def must_create_cluster(self) -> bool:
        """Whether this node has to create the cluster now."""
        if not self.is_first_start or not self.discovered_nodes:
            return False
        if self.node.host not in self.seeds:
            return False
        seed_index = self.seeds.index(self.node.host)
        if any(seed in self.answered_seeds for seed in self.seeds[:seed_index]):
            return False
        now_s = self.get_time_s()
        min_wait_s = MIN_DISCOVERY_S + seed_index * SEED_FALLBACK_DELAY_S
        return (
            now_s - self.started_s >= min_wait_s
            and now_s - self.last_discovery_s >= DISCOVERY_QUIET_S
        )

    def create_cluster(self) -> None:
        """Create the cluster; the discovered nodes are its first voters."""
        cluster_id = uuid.uuid4().hex[:8]
        members = [
            Member(
                make_initial_replica_id(host, cluster_id), host, node.rpc_address, True
            )
            for host, node in sorted(self.discovered_nodes.items())
        ]
        self.set_cluster(cluster_id, members)
        self.log.info(
            "cluster_founded",
            cluster=cluster_id,
            voters=",".join(self.discovered_nodes),
        )
