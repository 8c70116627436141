"""A node's view of the fleet: configuration, targets, weights and members."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable

from .._tasks import cancel_and_wait
from ..control.raft_messages import Member
from ..errors import InvalidConfigurationError, LaburnumpitchError
from ..logging import get_logger
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
"""Time for one call over all hosts; a held call takes 0.4 s."""

LEADER_TIMEOUT_S = 1.5
"""Silence of the leader after which it counts as lost."""

RETRY_PAUSE_S = 0.1
"""Pause after a failed call, spread at random."""

ConfigurationDecoder = Callable[[bytes], RoutingConfiguration]


class FleetView:
    """Follows the leader and keeps what it says.

    Args:
        node: This node.
        leader_client: Finds the leader.
        decode: Reads a configuration's text.
        interval_s: Interval of the targets' announcements.
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
        self.targets = TargetTable(announce_interval_s)
        self.configuration: RoutingConfiguration | None = None
        self.packed_configuration = b""
        """Text of the configuration in force, packed."""
        self.weight_versions: dict[str, int] = {}
        self.weight_versions_since_s: dict[str, float] = {}
        """When this node first heard of a model's named version."""
        self.quarantined: frozenset[str] = frozenset()
        self.assignments: dict[str, str] = {}
        self.members: list[Member] = []
        self.facts: FleetFacts | None = None
        self.hosts: list[str] = []
        self.node_count = 1
        self.term = -1
        self.sequence = 0
        self.received_target_ids: set[str] = set()
        """Targets that this term's leader has named."""
        self.last_contact_s = float("-inf")
        self.is_leader_lost = True
        self.get_local_loads: Callable[[], dict[str, FleetLoad]] = dict
        """Returns what this node has at targets."""
        self.on_other_loads: Callable[[], None] = lambda: None
        """Called when the other nodes' loads are news, and nothing else."""
        self.other_loads: dict[str, FleetLoad] = {}
        """What the other nodes have at targets."""
        self.on_change: list[Callable[[], None]] = []
        self.log = get_logger()
        self.task: asyncio.Task[None] | None = None

    @property
    def has_leader_contact(self) -> bool:
        """Whether the leader was heard lately."""
        return self.get_time_s() - self.last_contact_s < LEADER_TIMEOUT_S

    async def start(self) -> None:
        """Begin to follow."""
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Stop following."""
        await cancel_and_wait(self.task)

    async def run(self) -> None:
        """Ask for news until cancelled."""
        while True:
            try:
                answer = await self.leader_client.call(
                    self.make_follow_call(), SUBSCRIBE_TIMEOUT_S
                )
                self.apply_answer(answer)
            except LaburnumpitchError as error:
                self.handle_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))

    def make_follow_call(self) -> Follow:
        """Return a call that says what this node has."""
        version = self.configuration.version if self.configuration else -1
        return Follow(
            self.node, self.term, self.sequence, version, self.get_local_loads()
        )

    def handle_failure(self, error: LaburnumpitchError) -> None:
        """Log once that the leader is lost."""
        if not self.is_leader_lost and not self.has_leader_contact:
            self.is_leader_lost = True
            self.log.warning(
                "leader_lost",
                code=error.code,
                term=self.term,
                hint=self.leader_client.leader,
            )

    def apply_answer(self, answer: FollowAnswer) -> None:
        """Keep what a leader says, unless a newer leader has spoken."""
        if answer.term < self.term:
            return
        now_s = self.get_time_s()
        if answer.term > self.term:
            self.received_target_ids = set()
        if self.is_leader_lost or answer.term > self.term:
            self.log.info(
                "leader_found", leader=self.leader_client.leader, term=answer.term
            )
        self.is_leader_lost = False
        self.last_contact_s = now_s
        is_unchanged = (self.term, self.sequence) == (answer.term, answer.sequence)
        self.term, self.sequence = answer.term, answer.sequence
        self.other_loads = answer.loads
        self.received_target_ids.update(record.target_id for record in answer.targets)
        self.targets.apply_changes(answer.targets, now_s)
        if answer.is_settled:
            self.mark_unreported_targets()
        if answer.facts is not None:
            self.apply_facts(answer.facts)
        if answer.configuration:
            self.apply_configuration(answer.configuration)
        if is_unchanged and not answer.configuration:
            self.on_other_loads()
            return
        for callback in self.on_change:
            callback()

    def get_weight_version_age_s(self, model: str) -> float:
        """Return for how long this node has known a model's named version."""
        return self.get_time_s() - self.weight_versions_since_s.get(model, float("inf"))

    def make_snapshot(self) -> FleetSnapshot | None:
        """Return what this node knows, or None before the first configuration."""
        if self.facts is None or not self.packed_configuration:
            return None
        return FleetSnapshot(
            self.packed_configuration, self.targets.get_records(), self.facts
        )

    def apply_snapshot(self, snapshot: FleetSnapshot) -> None:
        """Begin with what another node, or this one before its restart, knew.

        A leader's word replaces it as soon as one is heard.
        """
        if self.term >= 0:
            return
        if self.facts is None:
            self.apply_facts(snapshot.facts)
        self.targets.apply_changes(snapshot.targets, self.get_time_s())
        self.apply_configuration(snapshot.configuration)
        for callback in self.on_change:
            callback()

    def apply_facts(self, facts: FleetFacts) -> None:
        """Keep what the leader says of the fleet."""
        self.facts = facts
        for model, version in facts.weights.items():
            if version != self.weight_versions.get(model):
                self.weight_versions_since_s[model] = self.get_time_s()
        self.weight_versions = facts.weights
        self.quarantined = frozenset(facts.quarantined)
        self.assignments = facts.keepers
        self.members = facts.members
        self.hosts = facts.hosts
        self.node_count = max(1, len(facts.hosts))
        self.leader_client.set_hosts(member.name for member in facts.members)

    def mark_unreported_targets(self) -> None:
        """Targets that a settled leader never heard of have gone silent."""
        for target_id in set(self.targets.entries) - self.received_target_ids:
            if self.targets.mark_not_announcing(target_id):
                self.log.info("target_silent", target=target_id)

    def apply_configuration(self, packed: bytes) -> None:
        """Put a newer configuration in force; an older one never is again."""
        try:
            configuration = self.decode_configuration(zlib.decompress(packed))
        except (InvalidConfigurationError, zlib.error) as error:
            self.log.error("configuration_unreadable", detail=str(error))
            return
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.packed_configuration = packed
        self.log.info(
            "configuration_in_force",
            version=configuration.version,
            before=known.version if known else None,
            routes=len(configuration.routes),
        )
