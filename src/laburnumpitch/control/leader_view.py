"""The leader's tables of nodes, targets and loads, built from heartbeats.

They are kept in memory only. A new leader starts with empty tables and marks them
as incomplete until every running node and target has had time to report.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..membership.load_codec import MAX_WEIGHT_VERSIONS, pack_loads
from ..membership.messages import (
    LEAVING,
    Heartbeat,
    NodeInfo,
    TargetInfo,
    TargetLoad,
    ViewCursor,
    ViewDelta,
)
from ..membership.versioned_table import VersionedTable

TARGET_TTL_S = 3.0
"""Time since the last contact after which a target is removed."""


@dataclass
class LeaderView:
    """Versioned tables of nodes, targets and loads in one term."""

    term: int
    term_started_at_s: float
    """When the term's leader was elected."""

    def __post_init__(self) -> None:
        self.version = 0
        """Version of the tables; grows with each heartbeat and each removal."""
        self.nodes: VersionedTable[NodeInfo] = VersionedTable()
        self.targets: VersionedTable[TargetInfo] = VersionedTable()
        self.loads: VersionedTable[TargetLoad] = VersionedTable()
        self.last_contact_s: dict[str, float] = {}
        """When a target was last reported, by target id."""
        self.target_numbers: dict[str, int] = {}
        """Number of each target of this term, which stands for it in packed loads."""
        self.weight_version_indexes: dict[str, int] = {}
        """Index of each weight version of this term, used in packed loads."""

    def apply_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Merge a node's heartbeat into the tables."""
        self.version += 1
        node = heartbeat.node
        if self.nodes.items.get(node.node_id) != node:
            self.nodes.set_at_version(node.node_id, node, self.version)
        for target in heartbeat.targets:
            self.apply_target(target, now_s)
        for target_id in heartbeat.heard:
            if target_id in self.targets.items:
                self.last_contact_s[target_id] = now_s
        for load in heartbeat.loads:
            self.apply_load(load)

    def find_unknown_targets(self, target_ids: list[str]) -> list[str]:
        """Return the reported targets whose announcement or load is missing here.

        Nodes send only what differs from their own view. A new leader, whose tables
        are empty, has to request the rest.
        """
        return [
            target_id
            for target_id in target_ids
            if target_id not in self.targets.items or target_id not in self.loads.items
        ]

    def apply_target(self, target: TargetInfo, now_s: float) -> None:
        """Merge a target's announcement.

        An announcement of an older incarnation is ignored. So is one that takes
        back the leaving state, which is final for an incarnation.
        """
        known = self.targets.items.get(target.target_id)
        if known is not None:
            is_older = target.incarnation < known.incarnation
            is_known_leaving = (
                target.incarnation == known.incarnation and known.state == LEAVING
            )
            if is_older or (is_known_leaving and target.state != LEAVING):
                return
        self.last_contact_s[target.target_id] = now_s
        self.target_numbers.setdefault(target.target_id, len(self.target_numbers))
        if known != target:
            self.targets.set_at_version(target.target_id, target, self.version)

    def apply_load(self, load: TargetLoad) -> None:
        """Merge a target's load report.

        It is ignored if a newer one is known, if the target is unknown, or if
        the term has no index left for a new weight version.
        """
        known = self.loads.items.get(load.target_id)
        if known is not None and (load.incarnation, load.sequence) <= (
            known.incarnation,
            known.sequence,
        ):
            return
        if load.target_id in self.targets.items:
            index = len(self.weight_version_indexes)
            if (
                index == MAX_WEIGHT_VERSIONS
                and load.weight_version not in self.weight_version_indexes
            ):
                return
            self.weight_version_indexes.setdefault(load.weight_version, index)
            self.loads.set_at_version(load.target_id, load, self.version)

    def remove_node(self, node_id: str) -> None:
        """Remove a node whose lease has expired."""
        self.version += 1
        self.nodes.remove_at_version(node_id, self.version)

    def expire_targets(self, now_s: float) -> list[str]:
        """Remove the targets whose last contact is too long ago; return their ids."""
        expired = [
            target_id
            for target_id, last_contact_s in self.last_contact_s.items()
            if now_s - last_contact_s > TARGET_TTL_S
        ]
        for target_id in expired:
            self.version += 1
            del self.last_contact_s[target_id]
            self.targets.remove_at_version(target_id, self.version)
            self.loads.remove_at_version(target_id, self.version)
        return expired

    def make_delta(self, cursor: ViewCursor, now_s: float) -> ViewDelta:
        """Return the changes since a node's cursor.

        The delta has the full tables if the cursor is of another term, is too old
        or too new, or has another digest at the same version.
        """
        is_full = (
            cursor.term != self.term
            or cursor.version > self.version
            or cursor.version < self.get_oldest_delta_version()
            or (cursor.version == self.version and cursor.digest != self.digest)
        )
        since_version = -1 if is_full else cursor.version
        targets = self.targets.get_changed_since(since_version)
        loads = self.loads.get_changed_since(since_version)
        return ViewDelta(
            ViewCursor(self.term, self.version, self.digest),
            is_full,
            now_s - self.term_started_at_s > TARGET_TTL_S,
            self.nodes.get_changed_since(since_version),
            targets,
            [self.target_numbers[target.target_id] for target in targets],
            pack_loads(loads, self.target_numbers, self.weight_version_indexes),
            list(self.weight_version_indexes) if loads else [],
            self.nodes.get_removed_since(since_version),
            self.targets.get_removed_since(since_version),
        )

    def get_oldest_delta_version(self) -> int:
        """Return the oldest version from which a delta can be made."""
        return max(self.nodes.oldest_delta_version, self.targets.oldest_delta_version)

    @property
    def digest(self) -> int:
        """Digest of nodes and targets.

        Loads are left out, since the next report corrects a wrong one.
        """
        return self.nodes.digest ^ self.targets.digest
