"""The control leader's service for nodes and joining replicas.

The leader grants leases to nodes, sends them configuration and view changes,
commits their commands, grants rate tokens and tracks which revision is in force.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace

from .._tasks import cancel_and_wait, start_loop
from ..errors import ForbiddenError
from ..logging import get_logger
from ..membership.messages import (
    Flag,
    Heartbeat,
    HeartbeatAnswer,
    JoinReplica,
    JoinReplicaAnswer,
    ProposeCall,
    QuotaAnswer,
    QuotaCall,
    QuotaGrant,
    SuspectInfo,
)
from ..transport.codec import decode
from ..transport.rpc import RpcServer
from .commands import (
    BeginTrial,
    Claim,
    EndTrial,
    ExpireNode,
    JoinNode,
    RecordDeath,
    ReleaseClaim,
    SettleClaim,
)
from .document import OrganisationSection
from .leader_view import LeaderView
from .quota import GRANT_VALID_S, QuotaTable
from .raft_messages import (
    AppendAnswer,
    AppendRequest,
    Member,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
)
from .replica import Replica

NODE_LEASE_S = 3.0
"""Length of a node's lease. The node counts it from when it sent the heartbeat, the
leader from when it answers, so the lease ends first at the node."""

NODE_EXPIRY_S = 6.0
"""Time since the last heartbeat after which a node is removed and its open claims
become unknown."""

HOUSEKEEPING_INTERVAL_S = 0.5
"""Interval between checks for nodes and targets that have timed out."""

IN_FORCE_POLL_INTERVAL_S = 0.05
"""Interval at which a waiting call checks whether a revision is in force."""

MAX_IN_FORCE_WAIT_S = 60.0
"""Longest time for which an operator's call waits for a revision."""

NODE_COMMANDS = (
    Claim,
    SettleClaim,
    ReleaseClaim,
    RecordDeath,
    BeginTrial,
    EndTrial,
)
"""Types of the commands that nodes may propose."""


@dataclass
class NodeLease:
    """The lease that this leader granted to a node."""

    incarnation: int
    confirmed_revision: int
    """Revision of the document that the node reported as in force."""
    expires_at_s: float


class TermState:
    """A leader's in-memory state of one term.

    Args:
        term: The leader's term.
        now_s: When the term's leader was elected.
    """

    def __init__(self, term: int, now_s: float) -> None:
        self.term = term
        self.started_at_s = now_s
        self.leases: dict[str, NodeLease] = {}
        self.view = LeaderView(term, now_s)
        self.quotas = QuotaTable(now_s)

    def get_lease_end_s(self, node_id: str, incarnation: int) -> float:
        """Return when a node's lease ends at the latest, whichever leader granted it.

        A node without a lease from this leader may hold one from an earlier
        leader, which expires at most one lease length after the start of the term.
        """
        lease = self.leases.get(node_id)
        if lease is not None and lease.incarnation == incarnation:
            return lease.expires_at_s
        return self.started_at_s + NODE_LEASE_S


class LeaderService:
    """Answers nodes and joining replicas while this replica leads.

    Args:
        replica: The control replica of this process.
        cluster_id: Name of the cluster.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        replica: Replica,
        cluster_id: str,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.replica = replica
        self.cluster_id = cluster_id
        self.get_time_s = get_time_s
        self.term_state = TermState(0, get_time_s())
        self.log = get_logger()
        self.housekeeping_task: asyncio.Task[None] | None = None

    def register(self, server: RpcServer) -> None:
        """Register the handlers for messages of nodes and replicas."""
        for message_type in (
            VoteRequest,
            VoteAnswer,
            AppendRequest,
            AppendAnswer,
            SnapshotRequest,
        ):
            server.on(message_type, self.replica.on_raft_message)
        server.on(Heartbeat, self.on_heartbeat)
        server.on(ProposeCall, self.on_propose_call)
        server.on(QuotaCall, self.on_quota_call)
        server.on(JoinReplica, self.on_join_replica)

    async def start(self) -> None:
        """Start the housekeeping task."""
        self.housekeeping_task = start_loop("housekeeping", self.run_housekeeping)

    async def close(self) -> None:
        """Stop the housekeeping task."""
        await cancel_and_wait(self.housekeeping_task)

    def get_term_state(self) -> TermState:
        """Return the state of the current term, which starts empty in a new term.

        Raises:
            NotLeaderError: If this replica does not lead.
        """
        self.replica.require_leader()
        if self.term_state.term != self.replica.core.term:
            self.term_state = TermState(
                self.replica.core.term, self.replica.core.leader_since_s
            )
        return self.term_state

    async def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Renew a node's lease and send the changes since its last heartbeat."""
        self.get_term_state()
        node = heartbeat.node
        await self.register_node(node.node_id, node.incarnation)
        # The leadership may have changed during the commit.
        term_state = self.get_term_state()
        now_s = self.get_time_s()
        term_state.view.apply_heartbeat(heartbeat, now_s)
        term_state.leases[node.node_id] = NodeLease(
            node.incarnation, heartbeat.revision, now_s + NODE_LEASE_S
        )
        return self.make_heartbeat_answer(heartbeat, term_state, now_s)

    async def register_node(self, node_id: str, incarnation: int) -> None:
        """Commit a node's incarnation to the log if it is not registered yet.

        Raises:
            ForbiddenError: If a newer incarnation of the node has registered.
        """
        registered_incarnation = self.replica.state_machine.state.nodes.get(node_id)
        if registered_incarnation is None or registered_incarnation < incarnation:
            registered_incarnation = await self.replica.propose(
                JoinNode(node_id, incarnation)
            )
            self.log.info("node_joined", peer=node_id, incarnation=incarnation)
        if registered_incarnation > incarnation:
            raise ForbiddenError(f"a newer process of {node_id} has registered")

    def make_heartbeat_answer(
        self, heartbeat: Heartbeat, term_state: TermState, now_s: float
    ) -> HeartbeatAnswer:
        """Return the lease and the changes since the state that the node reported."""
        machine = self.replica.state_machine
        suspects = None
        if heartbeat.suspect_version != machine.state.suspect_version:
            suspects = self.list_suspects()
        return HeartbeatAnswer(
            NODE_LEASE_S,
            machine.state.revision,
            machine.get_sections_since(heartbeat.revision),
            term_state.view.make_delta(heartbeat.cursor, now_s),
            machine.state.suspect_version,
            suspects,
            machine.state.drained_targets,
            term_state.view.find_unknown_targets(heartbeat.heard),
        )

    def list_suspects(self) -> list[SuspectInfo]:
        """Return all suspects with the number of their target deaths."""
        suspects = self.replica.state_machine.state.suspects
        return [
            SuspectInfo(fingerprint, len(suspect.dead_targets), suspect.trial_target)
            for fingerprint, suspect in suspects.items()
        ]

    async def on_propose_call(self, call: ProposeCall) -> Any:
        """Commit a node's command and return its result.

        Raises:
            ForbiddenError: If nodes may not propose this type of command.
        """
        command = decode(call.command)
        if not isinstance(command, NODE_COMMANDS):
            raise ForbiddenError(f"nodes may not propose {type(command).__name__}")
        return make_result_message(await self.replica.propose(command))

    async def on_quota_call(self, call: QuotaCall) -> QuotaAnswer:
        """Grant tokens from the rate limits of organisations."""
        quotas = self.get_term_state().quotas
        now_s = self.get_time_s()
        grants = []
        for request in call.requests:
            section = self.replica.state_machine.parsed_sections.get(
                f"organisations.{request.organisation}"
            )
            if isinstance(section, OrganisationSection):
                granted = quotas.grant(
                    request.organisation, section.requests_per_s, request.wanted, now_s
                )
                grants.append(QuotaGrant(request.organisation, granted))
        return QuotaAnswer(grants, GRANT_VALID_S)

    def get_lagging_nodes(self, revision: int) -> list[str]:
        """Return the nodes that may still accept work under an older revision.

        Raises:
            NotLeaderError: If this replica does not lead.
        """
        term_state = self.get_term_state()
        now_s = self.get_time_s()
        lagging = []
        for node_id, incarnation in self.replica.state_machine.state.nodes.items():
            lease = term_state.leases.get(node_id)
            is_confirmed = (
                lease is not None
                and lease.incarnation == incarnation
                and lease.confirmed_revision >= revision
            )
            has_lease = now_s < term_state.get_lease_end_s(node_id, incarnation)
            if has_lease and not is_confirmed:
                lagging.append(node_id)
        return lagging

    async def wait_until_in_force(self, revision: int, timeout_s: float) -> list[str]:
        """Wait until a revision is in force on every node that has a lease.

        Returns:
            The nodes without the revision after the timeout; empty if it is in
            force. `control` stands for a revision that this replica lacks.
        """
        deadline_s = self.get_time_s() + min(timeout_s, MAX_IN_FORCE_WAIT_S)
        while True:
            lagging = self.get_lagging_nodes(revision)
            if self.replica.state_machine.state.revision < revision:
                lagging = lagging or ["control"]
            if not lagging or self.get_time_s() >= deadline_s:
                return lagging
            await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)

    async def run_housekeeping(self) -> None:
        """Remove nodes and targets that timed out, while this replica leads."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            if self.replica.is_leader:
                try:
                    await self.expire_nodes_and_targets()
                except Exception:
                    self.log.exception("housekeeping_failed")

    async def expire_nodes_and_targets(self) -> None:
        """Remove nodes and targets whose last contact is too long ago."""
        term_state = self.get_term_state()
        now_s = self.get_time_s()
        for target_id in term_state.view.expire_targets(now_s):
            self.log.info("target_expired", target=target_id)
        grace_s = NODE_EXPIRY_S - NODE_LEASE_S
        for node_id, incarnation in list(
            self.replica.state_machine.state.nodes.items()
        ):
            if now_s > term_state.get_lease_end_s(node_id, incarnation) + grace_s:
                self.log.info("node_expired", peer=node_id, incarnation=incarnation)
                term_state.view.remove_node(node_id)
                await self.replica.propose(ExpireNode(node_id, incarnation))

    async def on_join_replica(self, call: JoinReplica) -> JoinReplicaAnswer:
        """Replace a replica that lost its data by a new one of the same name.

        Each call of the joining replica makes the next membership change: add it
        as a learner; once it has caught up, remove the replica that it replaces;
        then make it a voter.
        """
        self.replica.require_leader()
        if call.cluster_id != self.cluster_id:
            raise ForbiddenError(
                f"replica of another cluster; this is {self.cluster_id}"
            )
        core = self.replica.core
        members = core.members
        joining = [member for member in members if member.replica_id == call.replica_id]
        replaced = [
            member
            for member in members
            if member.name == call.name and member.replica_id != call.replica_id
        ]
        if not joining:
            learner = Member(call.replica_id, call.name, call.address, False)
            await self.replica.propose_membership_change([*members, learner])
        elif joining[0].is_voter:
            return JoinReplicaAnswer(True, self.cluster_id)
        elif self.has_caught_up(call.replica_id):
            if replaced:
                remaining = [member for member in members if member not in replaced]
                await self.replica.propose_membership_change(remaining)
            else:
                voter = replace(joining[0], is_voter=True)
                remaining = [member for member in members if member not in joining]
                await self.replica.propose_membership_change([*remaining, voter])
        return JoinReplicaAnswer(False, self.cluster_id)

    def has_caught_up(self, replica_id: str) -> bool:
        """Whether a learner has all committed entries."""
        core = self.replica.core
        progress = core.progress.get(replica_id)
        return progress is not None and progress.match_index >= core.commit_index


def make_result_message(result: Any) -> Any:
    """Return a command's result as a message; a number is wrapped in a `Flag`."""
    return Flag(int(result)) if isinstance(result, (bool, int)) else result
