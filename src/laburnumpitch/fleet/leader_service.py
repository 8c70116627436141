"""Handles the calls that only the leader can answer."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from ..control.raft_messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
)
from ..control.replica import Replica
from ..errors import ForbiddenError, NotFoundError, NotLeaderError
from ..logging import get_logger
from ..relay.configuration import RoutingConfiguration
from ..transport.rpc import RpcServer
from .crash_messages import PastDeaths, PiecesCompleted, RequestCompleted, TargetDied
from .fleet_publisher import FleetPublisher
from .messages import (
    Announce,
    AnnounceAnswer,
    ConfigurationText,
    Depart,
    Follow,
    FollowAnswer,
    JoinCore,
    JoinCoreAnswer,
    PutConfiguration,
    PutWeights,
    ReadConfiguration,
    StoreConfiguration,
    StoreWeights,
    TargetLeaving,
    TargetRecord,
    TargetUnreachable,
)
from .replica_manager import ReplicaManager
from .target_notices import handle_target_leaving, handle_target_unreachable

COMPRESSION_LEVEL = 1
"""zlib level; a configuration is compressed once and sent to every node."""


class LeaderService:
    """Handles calls to the leader; on other nodes, refers callers to the leader.

    Args:
        replica_manager: Manages this node's replica; None without a disk.
        get_leader_hint: Returns the leader's host as this node knows it, or "".
        announce_address: This node's address for the targets' announcements.
        decode_configuration: Parses a configuration's text.
        has_cold_limit: Returns whether a service limits the requests to cold targets.
    """

    def __init__(
        self,
        replica_manager: ReplicaManager | None,
        get_leader_hint: Callable[[], str],
        announce_address: str,
        decode_configuration: Callable[[bytes], RoutingConfiguration],
        has_cold_limit: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self.has_cold_limit = has_cold_limit
        self.replica_manager = replica_manager
        self.get_leader_hint = get_leader_hint
        self.announce_address = announce_address
        self.decode_configuration = decode_configuration
        self.log = get_logger()

    def register(self, server: RpcServer) -> None:
        """Register the handlers at a server."""
        for message_type in (
            *(VoteRequest, VoteAnswer, AppendRequest, AppendAnswer),
            SnapshotRequest,
        ):
            server.on(message_type, self.on_raft_message)
        server.on(Follow, self.on_follow)
        server.on(Announce, self.on_announce)
        server.on(Depart, self.on_depart)
        server.on(PutConfiguration, self.on_put_configuration)
        server.on(ReadConfiguration, self.on_read_configuration)
        server.on(PutWeights, self.on_put_weights)
        server.on(TargetDied, self.on_target_died)
        server.on(PastDeaths, self.on_past_deaths)
        server.on(PiecesCompleted, self.on_pieces_completed)
        server.on(RequestCompleted, self.on_request_completed)
        server.on(TargetUnreachable, self.on_target_unreachable)
        server.on(TargetLeaving, self.on_target_leaving)
        server.on(JoinCore, self.on_join_core)

    def require_leader_state(self) -> tuple[Replica, FleetPublisher]:
        """Return the replica and the publisher of a leader.

        Raises:
            NotLeaderError: With the host to call instead.
        """
        replica_manager = self.replica_manager
        if (
            replica_manager is None
            or replica_manager.replica is None
            or replica_manager.publisher is None
        ):
            raise NotLeaderError(self.get_leader_hint())
        replica_manager.publisher.check_term()
        return replica_manager.replica, replica_manager.publisher

    async def on_raft_message(self, item: Any) -> None:
        """Pass a message to the replica."""
        if (
            self.replica_manager is not None
            and self.replica_manager.replica is not None
        ):
            await self.replica_manager.replica.on_raft_message(item)

    async def on_follow(self, call: Follow) -> FollowAnswer:
        """Return the changes that a node lacks."""
        _, publisher = self.require_leader_state()
        return await publisher.handle_follow(call)

    async def on_target_died(self, notice: TargetDied) -> None:
        """Record the death of a target that had a request."""
        _, publisher = self.require_leader_state()
        publisher.handle_target_death(notice)

    async def on_past_deaths(self, report: PastDeaths) -> None:
        """Record the deaths that a node had reported to former leaders."""
        _, publisher = self.require_leader_state()
        publisher.handle_past_deaths(report)

    async def on_pieces_completed(self, notice: PiecesCompleted) -> None:
        """Clear pieces on which a target has completed an answer."""
        _, publisher = self.require_leader_state()
        publisher.handle_completed_pieces(notice)

    async def on_request_completed(self, notice: RequestCompleted) -> None:
        """Clear a request that a target has answered."""
        _, publisher = self.require_leader_state()
        publisher.handle_completed_request(notice)

    async def on_target_unreachable(self, notice: TargetUnreachable) -> None:
        """Handle a node's notice that it cannot reach a target."""
        _, publisher = self.require_leader_state()
        handle_target_unreachable(publisher, notice)

    async def on_target_leaving(self, notice: TargetLeaving) -> None:
        """Handle a node's notice that a target said that it is leaving."""
        _, publisher = self.require_leader_state()
        handle_target_leaving(publisher, notice)

    async def on_announce(self, call: Announce) -> AnnounceAnswer:
        """Apply an announcement; answer once every reachable node has the change.

        An announcement that is sent again waits for the same change.
        """
        _, publisher = self.require_leader_state()
        previous = publisher.targets.entries.get(call.record.target_id)
        is_cold_limited = self.has_cold_limit(call.record.service)
        is_changed = publisher.targets.apply_announcement(
            call.record, publisher.get_time_s(), is_cold_limited
        )
        if is_changed:
            self.log_target_change(call.record, previous.record if previous else None)
            publisher.notify_change()
        entry = publisher.targets.entries.get(call.record.target_id)
        if entry is not None and (is_changed or not entry.record.is_staying):
            await publisher.wait_target_known(call.record.target_id)
        return AnnounceAnswer(self.announce_address)

    def log_target_change(
        self, record: TargetRecord, previous: TargetRecord | None
    ) -> None:
        """Log a target that is new or whose announcement changed it."""
        self.log.info(
            "target_changed" if previous else "target_found",
            target=record.target_id,
            service=record.service,
            address=record.address,
            leaving=record.is_leaving,
            versions=record.versions,
            was_silent=bool(previous and previous.is_silent),
        )

    async def on_depart(self, call: Depart) -> AnnounceAnswer:
        """Mark a target as gone; answer once every reachable node has the change."""
        _, publisher = self.require_leader_state()
        is_known = call.target_id in publisher.targets.entries
        if publisher.targets.depart(call.target_id, publisher.get_time_s()):
            self.log.info("target_gone", target=call.target_id, heard_of=is_known)
            publisher.notify_change()
        await publisher.wait_target_known(call.target_id)
        return AnnounceAnswer(self.announce_address)

    async def on_put_configuration(self, call: PutConfiguration) -> ConfigurationText:
        """Commit a configuration; answer once every reachable node applies it.

        Raises:
            InvalidConfigurationError: If it is invalid, even if its version is old.
        """
        replica, publisher = self.require_leader_state()
        configuration = self.decode_configuration(call.body)
        state = replica.state_machine.state
        if configuration.version > state.configuration_version or (
            not state.configuration
        ):
            packed = zlib.compress(call.body, COMPRESSION_LEVEL)
            version = await replica.propose(
                StoreConfiguration(
                    configuration.version,
                    packed,
                    sharing=configuration.list_organisations(is_isolated=False),
                    isolated=configuration.list_organisations(is_isolated=True),
                )
            )
            self.log.info(
                "configuration_stored",
                version=configuration.version,
                in_force=version,
                bytes=len(packed),
                context_epoch=state.context_epoch,
            )
            publisher.publish()
        if configuration.version == state.configuration_version:
            # A call that is sent again may be the first that this leader receives.
            await publisher.subscriptions.wait_known_nodes()
            await publisher.subscriptions.wait_confirmed(publisher.sequence)
        return ConfigurationText(configuration.version, b"")

    async def on_read_configuration(self, call: ReadConfiguration) -> ConfigurationText:
        """Return the newest configuration.

        Raises:
            NotFoundError: If there is none yet.
        """
        replica, _ = self.require_leader_state()
        state = replica.state_machine.state
        if not state.configuration:
            raise NotFoundError("no configuration yet")
        return ConfigurationText(
            state.configuration_version, zlib.decompress(state.configuration)
        )

    async def on_put_weights(self, call: PutWeights) -> None:
        """Commit a model's desired weight version."""
        replica, publisher = self.require_leader_state()
        known_version = replica.state_machine.state.weights.get(call.model, 0)
        if call.version > known_version:
            await replica.propose(StoreWeights(call.model, call.version))
            self.log.info("weights_named", model=call.model, version=call.version)
            await publisher.subscriptions.wait_confirmed(publisher.update_facts())

    async def on_join_core(self, call: JoinCore) -> JoinCoreAnswer:
        """Take the next step that makes a replica with an empty disk a voter."""
        replica, _ = self.require_leader_state()
        if call.cluster_id != self.replica_manager.bootstrap.cluster_id:
            raise ForbiddenError(
                f"this is cluster {self.replica_manager.bootstrap.cluster_id}"
            )
        return await self.replica_manager.voter_set.handle_join(replica, call)
