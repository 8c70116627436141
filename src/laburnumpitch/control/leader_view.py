"""The leader's view of nodes, targets and loads, rebuilt from heartbeats.

It is soft state: a new leader starts empty and calls its view incomplete until
every living node and target had time to report.
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
"""Silence after which a target is removed from the view."""


@dataclass
class LeaderView:
    """Versioned tables of one leader's term."""

    term: int
    since_s: float
    """When the term's leader began."""

    def __post_init__(self) -> None:
        self.version = 0
        self.nodes: VersionedTable[NodeInfo] = VersionedTable()
        self.targets: VersionedTable[TargetInfo] = VersionedTable()
        self.loads: VersionedTable[TargetLoad] = VersionedTable()
        self.heard_s: dict[str, float] = {}
        self.numbers: dict[str, int] = {}
        """Number of each target seen in this term."""
        self.weight_versions: dict[str, int] = {}
        """Index of each weight version seen in this term."""

    def take_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Merge a node's report."""
        self.version += 1
        node = heartbeat.node
        if self.nodes.items.get(node.node_id) != node:
            self.nodes.set_at_version(node.node_id, node, self.version)
        for target in heartbeat.targets:
            self.take_target(target, now_s)
        for target_id in heartbeat.heard:
            if target_id in self.targets.items:
                self.heard_s[target_id] = now_s
        for load in heartbeat.loads:
            self.take_load(load)

    def find_unknown(self, heard: list[str]) -> list[str]:
        """Return the targets that a node hears and this view lacks in part.

        Nodes send only what differs from their own view, which a new leader
        does not have.
        """
        return [
            target_id
            for target_id in heard
            if target_id not in self.targets.items or target_id not in self.loads.items
        ]

    def take_target(self, target: TargetInfo, now_s: float) -> None:
        """Merge a target's announcement; leaving is final for an incarnation."""
        known = self.targets.items.get(target.target_id)
        if known is not None:
            is_older = target.incarnation < known.incarnation
            has_left = (
                target.incarnation == known.incarnation and known.state == LEAVING
            )
            if is_older or (has_left and target.state != LEAVING):
                return
        self.heard_s[target.target_id] = now_s
        self.numbers.setdefault(target.target_id, len(self.numbers))
        if known != target:
            self.targets.set_at_version(target.target_id, target, self.version)

    def take_load(self, load: TargetLoad) -> None:
        """Merge a load report unless a newer one is known."""
        known = self.loads.items.get(load.target_id)
        if known is not None and (load.incarnation, load.sequence) <= (
            known.incarnation,
            known.sequence,
        ):
            return
        if load.target_id in self.targets.items:
            index = len(self.weight_versions)
            if (
                index == MAX_WEIGHT_VERSIONS
                and load.weight_version not in self.weight_versions
            ):
                return
            self.weight_versions.setdefault(load.weight_version, index)
            self.loads.set_at_version(load.target_id, load, self.version)

    def remove_node(self, node_id: str) -> None:
        """Remove a node whose lease has run out."""
        self.version += 1
        self.nodes.remove_at_version(node_id, self.version)

    def expire_targets(self, now_s: float) -> list[str]:
        """Remove the targets that fell silent and return their ids."""
        silent = [
            target_id
            for target_id, heard_s in self.heard_s.items()
            if now_s - heard_s > TARGET_TTL_S
        ]
        for target_id in silent:
            self.version += 1
            del self.heard_s[target_id]
            self.targets.remove_at_version(target_id, self.version)
            self.loads.remove_at_version(target_id, self.version)
        return silent

    def make_delta(self, cursor: ViewCursor, now_s: float) -> ViewDelta:
        """Return what a node lacks; everything if its cursor does not fit."""
        is_full = (
            cursor.term != self.term
            or cursor.version > self.version
            or cursor.version < self.get_oldest_delta()
            or (cursor.version == self.version and cursor.digest != self.digest)
        )
        since = -1 if is_full else cursor.version
        targets = self.targets.get_changed_since(since)
        loads = self.loads.get_changed_since(since)
        return ViewDelta(
            ViewCursor(self.term, self.version, self.digest),
            is_full,
            now_s - self.since_s > TARGET_TTL_S,
            self.nodes.get_changed_since(since),
            targets,
            [self.numbers[target.target_id] for target in targets],
            pack_loads(loads, self.numbers, self.weight_versions),
            list(self.weight_versions) if loads else [],
            self.nodes.get_removed_since(since),
            self.targets.get_removed_since(since),
        )

    def get_oldest_delta(self) -> int:
        """Return the version from which deltas can be given."""
        return max(self.nodes.oldest_delta_version, self.targets.oldest_delta_version)

    @property
    def digest(self) -> int:
        """Digest of nodes and targets; loads are corrected by the next report."""
        return self.nodes.digest ^ self.targets.digest
