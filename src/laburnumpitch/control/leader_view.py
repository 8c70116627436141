"""The leader's view of nodes, targets and loads, rebuilt from heartbeats.

It is soft state: a new leader starts empty and calls its view incomplete until
every living node and target had time to report.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..membership.load_codec import MAX_VERSIONS, pack_loads
from ..membership.messages import (
    LEAVING,
    Heartbeat,
    NodeInfo,
    TargetInfo,
    TargetLoad,
    ViewCursor,
    ViewDelta,
)
from ..membership.view_table import VersionedTable

TARGET_TTL_S = 3.0
"""Silence after which a target is removed from the view."""


@dataclass
class LeaderView:
    """Versioned tables of one leader's term."""

    term: int
    term_started_at_s: float
    """When the term's leader began."""

    def __post_init__(self) -> None:
        self.version = 0
        self.nodes: VersionedTable[NodeInfo] = VersionedTable()
        self.targets: VersionedTable[TargetInfo] = VersionedTable()
        self.loads: VersionedTable[TargetLoad] = VersionedTable()
        self.last_contact_s: dict[str, float] = {}
        self.target_numbers: dict[str, int] = {}
        """Number of each target seen in this term."""
        self.weight_version_indexes: dict[str, int] = {}
        """Index of each weight version seen in this term."""

    def apply_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Merge a node's report."""
        self.version += 1
        node = heartbeat.node
        if self.nodes.items.get(node.node_id) != node:
            self.nodes.set_at(node.node_id, node, self.version)
        for target in heartbeat.targets:
            self.apply_target(target, now_s)
        for target_id in heartbeat.heard:
            if target_id in self.targets.items:
                self.last_contact_s[target_id] = now_s
        for load in heartbeat.loads:
            self.apply_load(load)

    def find_unknown_targets(self, target_ids: list[str]) -> list[str]:
        """Return the targets that a node hears and this view lacks in part.

        Nodes send only what differs from their own view, which a new leader
        does not have.
        """
        return [
            target_id
            for target_id in target_ids
            if target_id not in self.targets.items or target_id not in self.loads.items
        ]

    def apply_target(self, target: TargetInfo, now_s: float) -> None:
        """Merge a target's announcement; leaving is final for an incarnation."""
        known = self.targets.items.get(target.target_id)
        if known is not None:
            is_older = target.incarnation < known.incarnation
            has_left = (
                target.incarnation == known.incarnation and known.state == LEAVING
            )
            if is_older or (has_left and target.state != LEAVING):
                return
        self.last_contact_s[target.target_id] = now_s
        self.target_numbers.setdefault(target.target_id, len(self.target_numbers))
        if known != target:
            self.targets.set_at(target.target_id, target, self.version)

    def apply_load(self, load: TargetLoad) -> None:
        """Merge a load report unless a newer one is known."""
        known = self.loads.items.get(load.target_id)
        if known is not None and (load.incarnation, load.sequence) <= (
            known.incarnation,
            known.sequence,
        ):
            return
        if load.target_id in self.targets.items:
            index = len(self.weight_version_indexes)
            if (
                index == MAX_VERSIONS
                and load.weight_version not in self.weight_version_indexes
            ):
                return
            self.weight_version_indexes.setdefault(load.weight_version, index)
            self.loads.set_at(load.target_id, load, self.version)

    def remove_node(self, node_id: str) -> None:
        """Remove a node whose lease has run out."""
        self.version += 1
        self.nodes.remove_at(node_id, self.version)

    def expire_targets(self, now_s: float) -> list[str]:
        """Remove the targets that fell silent and return their ids."""
        expired = [
            target_id
            for target_id, last_contact_s in self.last_contact_s.items()
            if now_s - last_contact_s > TARGET_TTL_S
        ]
        for target_id in expired:
            self.version += 1
            del self.last_contact_s[target_id]
            self.targets.remove_at(target_id, self.version)
            self.loads.remove_at(target_id, self.version)
        return expired

    def make_delta(self, cursor: ViewCursor, now_s: float) -> ViewDelta:
        """Return what a node lacks; everything if its cursor does not fit."""
        is_full = (
            cursor.term != self.term
            or cursor.version > self.version
            or cursor.version < self.get_oldest_delta_version()
            or (cursor.version == self.version and cursor.digest != self.digest)
        )
        since = -1 if is_full else cursor.version
        targets = self.targets.get_since(since)
        loads = self.loads.get_since(since)
        return ViewDelta(
            ViewCursor(self.term, self.version, self.digest),
            is_full,
            now_s - self.term_started_at_s > TARGET_TTL_S,
            self.nodes.get_since(since),
            targets,
            [self.target_numbers[target.target_id] for target in targets],
            pack_loads(loads, self.target_numbers, self.weight_version_indexes),
            list(self.weight_version_indexes) if loads else [],
            self.nodes.get_removed_since(since),
            self.targets.get_removed_since(since),
        )

    def get_oldest_delta_version(self) -> int:
        """Return the version from which deltas can be given."""
        return max(self.nodes.oldest_delta, self.targets.oldest_delta)

    @property
    def digest(self) -> int:
        """Digest of nodes and targets; loads are corrected by the next report."""
        return self.nodes.digest ^ self.targets.digest
