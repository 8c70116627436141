"""A node's copy of the fleet's state, kept up to date by calls to the leader."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import zlib
from collections.abc import Callable

from msgspec.structs import replace

from .._tasks import cancel_and_wait, contain_errors, start_loop
from ..control.raft_messages import Member
from ..errors import InvalidConfigurationError, LaburnumpitchError
from ..logging import get_logger
from ..policy.cold_admission import MAX_CONTACT_AGE_S
from ..policy.evacuation import Evacuations
from ..policy.weight_history import WeightHistory
from ..relay.configuration import RoutingConfiguration
from .leader_client import LeaderClient
from .messages import (
    FleetFacts,
    FleetLoad,
    FleetSnapshot,
    Follow,
    FollowAnswer,
    NodeRecord,
)
from .target_table import TargetTable

SUBSCRIBE_TIMEOUT_S = 1.5
"""Time for one `Follow` call with its attempts at all hosts; a call that the leader
holds takes 0.4 s."""

LEADER_TIMEOUT_S = 1.5
"""Time since the last contact with the leader after which it counts as lost."""

RETRY_PAUSE_S = 0.1
"""Mean pause after a failed call; the pause is random, so that nodes don't retry at the
same time."""

ConfigurationDecoder = Callable[[bytes], RoutingConfiguration]


class FleetView:
    """Subscribes to the leader and holds this node's copy of the fleet's state.

    Args:
        node: This node.
        leader_client: Sends calls to the leader.
        decode_configuration: Parses a configuration's text.
        announce_interval_s: Interval of the targets' announcements.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        node: NodeRecord,
        leader_client: LeaderClient,
        decode_configuration: ConfigurationDecoder,
        announce_interval_s: float,
        get_time_s: Callable[[], float],
    ) -> None:
        self.node = node
        self.leader_client = leader_client
        self.decode_configuration = decode_configuration
        self.get_time_s = get_time_s
        self.targets = TargetTable(announce_interval_s, self.is_known_service)
        self.configuration: RoutingConfiguration | None = None
        self.packed_configuration = b""
        """Text of the configuration in force, compressed."""
        self.weight_versions: dict[str, int] = {}
        """Desired weight version by model, as operators set it."""
        self.weight_history = WeightHistory()
        """Since when each version has been replaced by a newer one."""
        self.quarantined: frozenset[str] = frozenset()
        """Fingerprints of requests that no node runs any more."""
        self.quarantined_pieces: frozenset[str] = frozenset()
        """Pieces of prompts that no node sends to a target any more."""
        self.suspect_requests: frozenset[str] = frozenset()
        """Fingerprints of requests of which an answer is reported to the leader."""
        self.suspect_pieces: frozenset[str] = frozenset()
        """Pieces of which a completed answer is reported to the leader."""
        self.assignments: dict[str, str] = {}
        """Host of each assignment, by its name."""
        self.builds: dict[str, dict[str, bool]] | None = None
        """Committed builds by service, and whether streams may begin on them; None if
        the leader does not record them."""
        self.evacuated: frozenset[str] = frozenset()
        """Data centres whose targets get no requests."""
        self.evacuation_revisions: dict[str, int] = {}
        """Number of changes of each data centre's evacuation."""
        self.members: list[Member] = []
        """Members of the replicated log."""
        self.facts: FleetFacts | None = None
        self.hosts: list[str] = []
        """Hosts of the nodes that subscribe to the leader."""
        self.node_count = 1
        self.term = -1
        self.sequence = 0
        self.received_target_ids: set[str] = set()
        """Targets that this term's leader has sent."""
        self.last_contact_s = float("-inf")
        self.contact_since_s = float("inf")
        """Start of the present term's contact without a gap of `MAX_CONTACT_AGE_S`."""
        self.is_leader_lost = True
        self.get_local_loads: Callable[[], dict[str, FleetLoad]] = dict
        """Returns this node's load at each target."""
        self.on_other_loads: Callable[[], None] = lambda: None
        """Called on an answer that brings nothing new except other nodes' loads."""
        self.other_loads: dict[str, FleetLoad] = {}
        """Load of the other nodes at each target."""
        self.on_change: list[Callable[[], None]] = []
        """Called after every other change."""
        self.log = get_logger()
        self.task: asyncio.Task[None] | None = None

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader has answered within `LEADER_TIMEOUT_S`."""
        return self.get_contact_age_s() < LEADER_TIMEOUT_S

    def get_contact_age_s(self) -> float:
        """Return the time since a leader has answered."""
        return self.get_time_s() - self.last_contact_s

    async def start(self) -> None:
        """Start the subscription."""
        self.task = start_loop("fleet_view", self.run)

    async def close(self) -> None:
        """End the subscription."""
        await cancel_and_wait(self.task)

    async def run(self) -> None:
        """Call the leader for changes, one call after another, until cancelled."""
        while True:
            called_s = self.get_time_s()
            try:
                answer = await self.leader_client.call(
                    self.make_follow_call(), SUBSCRIBE_TIMEOUT_S
                )
                self.apply_answer(answer, called_s)
            except LaburnumpitchError as error:
                self.handle_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))

    def make_follow_call(self) -> Follow:
        """Return a call with the term, sequence and versions that this node has."""
        version = self.configuration.version if self.configuration else -1
        return Follow(
            self.node, self.term, self.sequence, version, self.get_local_loads()
        )

    def handle_failure(self, error: LaburnumpitchError) -> None:
        """Log when the leader is lost, once for each loss."""
        if not self.is_leader_lost and not self.has_leader_contact:
            self.is_leader_lost = True
            self.log.warning(
                "leader_lost",
                code=error.code,
                term=self.term,
                hint=self.leader_client.leader_name,
            )

    def apply_answer(self, answer: FollowAnswer, called_s: float) -> None:
        """Apply a leader's answer, unless it comes from an earlier term."""
        if answer.term < self.term:
            return
        now_s = self.get_time_s()
        if answer.term > self.term:
            self.received_target_ids = set()
        if self.is_leader_lost or answer.term > self.term:
            self.log.info(
                "leader_found", leader=self.leader_client.leader_name, term=answer.term
            )
        self.is_leader_lost = False
        gap_s = called_s - self.last_contact_s
        if answer.term > self.term or gap_s > MAX_CONTACT_AGE_S:
            self.contact_since_s = now_s
        # The leader has heard from this node at this time or later. A node that was
        # suspended may read the answer much later than it was sent.
        self.last_contact_s = called_s
        is_unchanged = (self.term, self.sequence) == (answer.term, answer.sequence)
        self.term, self.sequence = answer.term, answer.sequence
        self.other_loads = answer.loads
        self.received_target_ids.update(record.target_id for record in answer.targets)
        self.targets.apply_changes(answer.targets, now_s)
        if answer.is_settled:
            self.mark_unreported_targets()
        # The leader does not send a change again, so each part is applied by itself.
        if answer.facts is not None:
            with contain_errors("fleet_view"):
                self.apply_facts(answer.facts)
        if answer.configuration:
            with contain_errors("fleet_view"):
                self.apply_configuration(answer.configuration, answer.context_epoch)
        if is_unchanged and not answer.configuration:
            with contain_errors("fleet_view"):
                self.on_other_loads()
            return
        self.notify_listeners()

    def notify_listeners(self) -> None:
        """Call all listeners; one that fails does not keep the others from a change."""
        for callback in self.on_change:
            with contain_errors("fleet_view"):
                callback()

    def get_outdated_weights_s(self, model: str, version: int) -> float:
        """Return the time since a version newer than a model's given one was set."""
        return self.weight_history.get_outdated_s(model, version, self.get_time_s())

    def get_facts(self) -> FleetFacts | None:
        """Return the fleet's facts with the present ages; None without any."""
        if self.facts is None:
            return None
        ages = self.weight_history.get_ages(self.get_time_s())
        return replace(self.facts, weight_ages=ages)

    def is_known_service(self, service: str) -> bool:
        """Whether the configuration names a service; any, without a configuration."""
        configuration = self.configuration
        return configuration is None or service in configuration.services_by_name

    def has_cold_limit(self, service: str) -> bool:
        """Whether a service limits the requests to cold targets."""
        configuration = self.configuration
        return (
            configuration is not None and service in configuration.cold_limited_services
        )

    def make_snapshot(self) -> FleetSnapshot | None:
        """Return this node's state, or None before the first configuration."""
        facts = self.get_facts()
        if facts is None or not self.packed_configuration:
            return None
        return FleetSnapshot(
            self.packed_configuration,
            self.targets.get_records(),
            facts,
            self.configuration.context_epoch if self.configuration else 0,
        )

    def apply_snapshot(self, snapshot: FleetSnapshot) -> None:
        """Start from the state of another node, or of this one before its restart.

        It is ignored once a leader has answered.
        """
        if self.term >= 0:
            return
        if self.facts is None:
            self.apply_facts(snapshot.facts)
        else:
            self.merge_evacuations(snapshot.facts)
        self.targets.apply_changes(snapshot.targets, self.get_time_s())
        self.apply_configuration(snapshot.configuration, snapshot.context_epoch)
        self.notify_listeners()

    def merge_evacuations(self, facts: FleetFacts) -> None:
        """Apply newer evacuations of another node, whose targets are applied, too."""
        merged = Evacuations(self.evacuated, self.evacuation_revisions).merge(
            Evacuations(frozenset(facts.evacuated), facts.evacuation_revisions)
        )
        self.evacuated = merged.evacuated
        self.evacuation_revisions = dict(merged.revisions)
        self.facts = replace(
            self.facts,
            evacuated=sorted(self.evacuated),
            evacuation_revisions=self.evacuation_revisions,
        )

    def apply_facts(self, facts: FleetFacts) -> None:
        """Apply the fleet's facts."""
        self.facts = facts
        now_s = self.get_time_s()
        self.weight_history.merge(facts.weight_ages, now_s)
        self.weight_history.record(facts.weights, now_s)
        self.weight_versions = facts.weights
        self.quarantined = frozenset(facts.quarantined)
        self.quarantined_pieces = frozenset(facts.quarantined_pieces)
        self.suspect_requests = frozenset(facts.suspect_requests)
        self.suspect_pieces = frozenset(facts.suspect_pieces)
        self.assignments = facts.keepers
        self.builds = facts.builds
        self.evacuated = frozenset(facts.evacuated)
        self.evacuation_revisions = facts.evacuation_revisions
        self.members = facts.members
        self.hosts = facts.hosts
        self.node_count = max(1, len(facts.hosts))
        self.leader_client.set_hosts(member.name for member in facts.members)

    def mark_unreported_targets(self) -> None:
        """Mark targets that a settled leader has not sent as not announcing."""
        for target_id in set(self.targets.entries) - self.received_target_ids:
            if self.targets.mark_not_announcing(target_id):
                self.log.info("target_silent", target=target_id)

    def apply_configuration(self, packed: bytes, context_epoch: int) -> None:
        """Put a configuration in force if it is newer than the present one.

        Args:
            packed: Its text, compressed.
            context_epoch: Epoch of shared kept context under it.
        """
        try:
            configuration = self.decode_configuration(zlib.decompress(packed))
        except (InvalidConfigurationError, zlib.error) as error:
            self.log.error("configuration_unreadable", detail=str(error))
            return
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = dataclasses.replace(
            configuration, context_epoch=context_epoch
        )
        self.packed_configuration = packed
        self.log.info(
            "configuration_in_force",
            version=configuration.version,
            before=current.version if current else None,
            routes=len(configuration.routes),
            context_epoch=context_epoch,
        )
