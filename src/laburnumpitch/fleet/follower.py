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

CALL_TIMEOUT_S = 1.5
"""Time for one call over all hosts; a held call takes 0.4 s."""

LOST_S = 1.5
"""Silence of the leader after which it counts as lost."""

RETRY_PAUSE_S = 0.1
"""Pause after a failed call, spread at random."""

Decode = Callable[[bytes], RoutingConfiguration]


class Follower:
    """Follows the leader and keeps what it says.

    Args:
        node: This node.
        leader: Finds the leader.
        decode: Reads a configuration's text.
        interval_s: Interval of the targets' announcements.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        node: NodeRecord,
        leader: LeaderClient,
        decode: Decode,
        interval_s: float,
        get_time_s: Callable[[], float],
    ) -> None:
        self.node = node
        self.leader = leader
        self.decode = decode
        self.get_time_s = get_time_s
        self.targets = TargetTable(interval_s)
        self.configuration: RoutingConfiguration | None = None
        self.packed = b""
        """Text of the configuration in force, packed."""
        self.weights: dict[str, int] = {}
        self.named_at_s: dict[str, float] = {}
        """When this node first heard of a model's named version."""
        self.quarantined: frozenset[str] = frozenset()
        self.keepers: dict[str, str] = {}
        self.members: list[Member] = []
        self.facts: FleetFacts | None = None
        self.hosts: list[str] = []
        self.node_count = 1
        self.term = -1
        self.sequence = 0
        self.named: set[str] = set()
        """Targets that this term's leader has named."""
        self.heard_s = float("-inf")
        self.is_lost = True
        self.get_loads: Callable[[], dict[str, FleetLoad]] = dict
        """Returns what this node has at targets."""
        self.on_loads: Callable[[], None] = lambda: None
        """Called when the other nodes' loads are news, and nothing else."""
        self.other_loads: dict[str, FleetLoad] = {}
        """What the other nodes have at targets."""
        self.on_change: list[Callable[[], None]] = []
        self.log = get_logger()
        self.task: asyncio.Task[None] | None = None

    @property
    def is_in_touch(self) -> bool:
        """Whether the leader was heard lately."""
        return self.get_time_s() - self.heard_s < LOST_S

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
                answer = await self.leader.call(self.make_call(), CALL_TIMEOUT_S)
                self.take(answer)
            except LaburnumpitchError as error:
                self.note_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))

    def make_call(self) -> Follow:
        """Return a call that says what this node has."""
        version = self.configuration.version if self.configuration else -1
        return Follow(self.node, self.term, self.sequence, version, self.get_loads())

    def note_failure(self, error: LaburnumpitchError) -> None:
        """Log once that the leader is lost."""
        if not self.is_lost and not self.is_in_touch:
            self.is_lost = True
            self.log.warning(
                "leader_lost",
                code=error.code,
                term=self.term,
                hint=self.leader.leader_name,
            )

    def take(self, answer: FollowAnswer) -> None:
        """Keep what a leader says, unless a newer leader has spoken."""
        if answer.term < self.term:
            return
        now_s = self.get_time_s()
        if answer.term > self.term:
            self.named = set()
        if self.is_lost or answer.term > self.term:
            self.log.info(
                "leader_found", leader=self.leader.leader_name, term=answer.term
            )
        self.is_lost = False
        self.heard_s = now_s
        is_same = (self.term, self.sequence) == (answer.term, answer.sequence)
        self.term, self.sequence = answer.term, answer.sequence
        self.other_loads = answer.loads
        self.named.update(record.target_id for record in answer.targets)
        self.targets.take_changes(answer.targets, now_s)
        if answer.is_settled:
            self.mark_unnamed()
        if answer.facts is not None:
            self.take_facts(answer.facts)
        if answer.configuration:
            self.take_configuration(answer.configuration)
        if is_same and not answer.configuration:
            self.on_loads()
            return
        for callback in self.on_change:
            callback()

    def get_weights_age_s(self, model: str) -> float:
        """Return for how long this node has known a model's named version."""
        return self.get_time_s() - self.named_at_s.get(model, float("inf"))

    def make_snapshot(self) -> FleetSnapshot | None:
        """Return what this node knows, or None before the first configuration."""
        if self.facts is None or not self.packed:
            return None
        return FleetSnapshot(self.packed, self.targets.get_records(), self.facts)

    def take_snapshot(self, snapshot: FleetSnapshot) -> None:
        """Begin with what another node, or this one before its restart, knew.

        A leader's word replaces it as soon as one is heard.
        """
        if self.term >= 0:
            return
        if self.facts is None:
            self.take_facts(snapshot.facts)
        self.targets.take_changes(snapshot.targets, self.get_time_s())
        self.take_configuration(snapshot.configuration)
        for callback in self.on_change:
            callback()

    def take_facts(self, facts: FleetFacts) -> None:
        """Keep what the leader says of the fleet."""
        self.facts = facts
        for model, version in facts.weights.items():
            if version != self.weights.get(model):
                self.named_at_s[model] = self.get_time_s()
        self.weights = facts.weights
        self.quarantined = frozenset(facts.quarantined)
        self.keepers = facts.keepers
        self.members = facts.members
        self.hosts = facts.hosts
        self.node_count = max(1, len(facts.hosts))
        self.leader.set_hosts(member.name for member in facts.members)

    def mark_unnamed(self) -> None:
        """Targets that a settled leader never heard of have gone silent."""
        for target_id in set(self.targets.known) - self.named:
            if self.targets.mark_silent(target_id):
                self.log.info("target_silent", target=target_id)

    def take_configuration(self, packed: bytes) -> None:
        """Put a newer configuration in force; an older one never is again."""
        try:
            configuration = self.decode(zlib.decompress(packed))
        except (InvalidConfigurationError, zlib.error) as error:
            self.log.error("configuration_unreadable", detail=str(error))
            return
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.packed = packed
        self.log.info(
            "configuration_in_force",
            version=configuration.version,
            before=known.version if known else None,
            routes=len(configuration.routes),
        )
