"""The control leader's duties towards nodes and operators."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from .._tasks import cancel_and_wait
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
"""Length of a node's lease, counted from when the node sent its heartbeat."""

NODE_EXPIRY_S = 6.0
"""Silence after which a node is removed and its claims become unknown."""

HOUSEKEEPING_INTERVAL_S = 0.5
"""Interval of looking for silent nodes and targets."""

IN_FORCE_POLL_S = 0.05
"""Interval of looking whether a revision is in force."""

MAX_WAIT_S = 60.0
"""Longest time for which an operator's wait is held."""

NODE_COMMANDS = (
    Claim,
    SettleClaim,
    ReleaseClaim,
    RecordDeath,
    BeginTrial,
    EndTrial,
)
"""Commands that nodes may propose."""


@dataclass
class NodeLease:
    """What this leader has promised to a node."""

    incarnation: int
    confirmed_revision: int
    expires_s: float


class TermState:
    """Soft state of one term.

    Args:
        term: The leader's term.
        now_s: When this leader began.
    """

    def __init__(self, term: int, now_s: float) -> None:
        self.term = term
        self.since_s = now_s
        self.leases: dict[str, NodeLease] = {}
        self.view = LeaderView(term, now_s)
        self.quotas = QuotaTable(now_s)

    def get_lease_end(self, node_id: str, incarnation: int) -> float:
        """Return when a node's lease has run out, whoever granted it.

        A node that this leader has not heard from may hold a lease from an
        earlier leader, which has run out one lease after the term's start.
        """
        lease = self.leases.get(node_id)
        if lease is not None and lease.incarnation == incarnation:
            return lease.expires_s
        return self.since_s + NODE_LEASE_S


class LeaderService:
    """Answers nodes and operators while this replica leads.

    Args:
        replica: The replica of this process.
        cluster_id: Name of the whole system.
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
        self.housekeeper: asyncio.Task[None] | None = None

    def register(self, server: RpcServer) -> None:
        """Answer the messages of nodes, operators and replicas."""
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
        """Begin housekeeping."""
        self.housekeeper = asyncio.create_task(self.run_housekeeping())

    async def close(self) -> None:
        """Stop housekeeping."""
        await cancel_and_wait(self.housekeeper)

    def get_term_state(self) -> TermState:
        """Return this term's soft state, a new one for a new term.

        Raises:
            NotLeaderError: If this replica does not lead.
        """
        self.replica.require_leader()
        if self.term_state.term != self.replica.core.term:
            self.term_state = TermState(
                self.replica.core.term, self.replica.core.leader_since_s
            )
        return self.term_state

    # Nodes.

    async def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Renew a node's lease and send it what it lacks."""
        self.get_term_state()
        node = heartbeat.node
        await self.admit_node(node.node_id, node.incarnation)
        # Committing may have taken longer than this replica's leadership.
        term_state = self.get_term_state()
        now_s = self.get_time_s()
        term_state.view.take_heartbeat(heartbeat, now_s)
        term_state.leases[node.node_id] = NodeLease(
            node.incarnation, heartbeat.revision, now_s + NODE_LEASE_S
        )
        return self.make_answer(heartbeat, term_state, now_s)

    async def admit_node(self, node_id: str, incarnation: int) -> None:
        """Register a new incarnation of a node in the log.

        Raises:
            ForbiddenError: If a newer incarnation of the node has registered.
        """
        known = self.replica.state_machine.state.nodes.get(node_id)
        if known is None or known < incarnation:
            known = await self.replica.propose(JoinNode(node_id, incarnation))
            self.log.info("node_joined", peer=node_id, incarnation=incarnation)
        if known > incarnation:
            raise ForbiddenError(f"{node_id} has restarted as another process")

    def make_answer(
        self, heartbeat: Heartbeat, term_state: TermState, now_s: float
    ) -> HeartbeatAnswer:
        """Return the lease and what the node lacks."""
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
            term_state.view.find_unknown(heartbeat.heard),
        )

    def list_suspects(self) -> list[SuspectInfo]:
        """Return every suspect."""
        suspects = self.replica.state_machine.state.suspects
        return [
            SuspectInfo(fingerprint, len(suspect.dead_targets), suspect.trial_target)
            for fingerprint, suspect in suspects.items()
        ]

    async def on_propose_call(self, call: ProposeCall) -> Any:
        """Commit a node's command."""
        command = decode(call.command)
        if not isinstance(command, NODE_COMMANDS):
            raise ForbiddenError(f"nodes may not propose {type(command).__name__}")
        return wrap_result(await self.replica.propose(command))

    async def on_quota_call(self, call: QuotaCall) -> QuotaAnswer:
        """Grant tokens of organisations' rates."""
        quotas = self.get_term_state().quotas
        now_s = self.get_time_s()
        grants = []
        for request in call.requests:
            section = self.replica.state_machine.values.get(
                f"organisations.{request.organisation}"
            )
            if isinstance(section, OrganisationSection):
                granted = quotas.grant(
                    request.organisation, section.requests_per_s, request.wanted, now_s
                )
                grants.append(QuotaGrant(request.organisation, granted))
        return QuotaAnswer(grants, GRANT_VALID_S)

    # Configuration in force.

    def get_lagging_nodes(self, revision: int) -> list[str]:
        """Return the nodes that may take new work without a revision.

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
            has_lease = now_s < term_state.get_lease_end(node_id, incarnation)
            if has_lease and not is_confirmed:
                lagging.append(node_id)
        return lagging

    async def wait_in_force(self, revision: int, timeout_s: float) -> list[str]:
        """Wait until every node with a lease has a revision in force.

        Returns:
            The nodes that lag at the end of the timeout; empty if in force.
        """
        deadline_s = self.get_time_s() + min(timeout_s, MAX_WAIT_S)
        while True:
            lagging = self.get_lagging_nodes(revision)
            if self.replica.state_machine.state.revision < revision:
                lagging = lagging or ["control"]
            if not lagging or self.get_time_s() >= deadline_s:
                return lagging
            await asyncio.sleep(IN_FORCE_POLL_S)

    # Housekeeping.

    async def run_housekeeping(self) -> None:
        """Remove silent nodes and targets while this replica leads."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            if self.replica.is_leader:
                try:
                    await self.expire_silent()
                except Exception:
                    self.log.exception("housekeeping_failed")

    async def expire_silent(self) -> None:
        """Remove nodes and targets that have not been heard from."""
        term_state = self.get_term_state()
        now_s = self.get_time_s()
        for target_id in term_state.view.expire_targets(now_s):
            self.log.info("target_expired", target=target_id)
        grace_s = NODE_EXPIRY_S - NODE_LEASE_S
        for node_id, incarnation in list(
            self.replica.state_machine.state.nodes.items()
        ):
            if now_s > term_state.get_lease_end(node_id, incarnation) + grace_s:
                self.log.info("node_expired", peer=node_id, incarnation=incarnation)
                term_state.view.remove_node(node_id)
                await self.replica.propose(ExpireNode(node_id, incarnation))

    # Replicas.

    async def on_join_replica(self, call: JoinReplica) -> JoinReplicaAnswer:
        """Bring in a replica without data in place of one of the same name.

        Each call takes the next step that is due: add a learner, remove the
        lost replica once the learner has caught up, then let it vote.
        """
        self.replica.require_leader()
        if call.cluster_id != self.cluster_id:
            raise ForbiddenError(f"this is cluster {self.cluster_id}")
        core = self.replica.core
        members = core.members
        own = [item for item in members if item.replica_id == call.replica_id]
        lost = [
            item
            for item in members
            if item.name == call.name and item.replica_id != call.replica_id
        ]
        if not own:
            learner = Member(call.replica_id, call.name, call.address, False)
            await self.replica.propose_membership_change([*members, learner])
        elif own[0].is_voter:
            return JoinReplicaAnswer(True, self.cluster_id)
        elif self.has_caught_up(call.replica_id):
            if lost:
                rest = [item for item in members if item not in lost]
                await self.replica.propose_membership_change(rest)
            else:
                voter = replace(own[0], is_voter=True)
                rest = [item for item in members if item not in own]
                await self.replica.propose_membership_change([*rest, voter])
        return JoinReplicaAnswer(False, self.cluster_id)

    def has_caught_up(self, replica_id: str) -> bool:
        """Whether a learner has every committed entry."""
        core = self.replica.core
        progress = core.progress.get(replica_id)
        return progress is not None and progress.match_index >= core.commit_index


def wrap_result(result: Any) -> Any:
    """Return a command's result as a message."""
    return Flag(int(result)) if isinstance(result, (bool, int)) else result
