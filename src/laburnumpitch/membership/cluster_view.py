"""A node's copy of the view: nodes, targets, loads."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from .load_codec import LoadRow, unpack_loads
from .messages import (
    ACTIVE,
    NodeInfo,
    TargetInfo,
    TargetLoad,
    ViewCursor,
    ViewDelta,
)
from .versioned_table import DigestedTable


class ClusterView:
    """What this node knows of nodes and targets."""

    def __init__(self) -> None:
        self.nodes: DigestedTable[NodeInfo] = DigestedTable()
        self.targets: DigestedTable[TargetInfo] = DigestedTable()
        self.loads: dict[str, TargetLoad] = {}
        self.targets_by_number: dict[int, str] = {}
        """Target by its number in the leader's packed reports."""
        self.report_count = 0
        """Reports taken so far; the sequence of those kept here."""
        self.drained_targets: frozenset[str] = frozenset()
        self.leaving_incarnations: dict[str, int] = {}
        """Incarnation by target that this node heard leaving."""
        self.term = 0
        self.version = 0
        self.nodes_version = 0
        """Number of changes to the nodes; what is derived from them may be kept
        while it stays."""
        self.listeners: list[Callable[[], None]] = []
        """Called after nodes or targets changed."""

    @property
    def cursor(self) -> ViewCursor:
        """How much of the leader's view is here."""
        return ViewCursor(
            self.term, self.version, self.nodes.digest ^ self.targets.digest
        )

    def apply_delta(self, delta: ViewDelta) -> None:
        """Merge the leader's changes.

        A full view replaces this one only once the leader has heard from
        everyone; until then it adds to this one.
        """
        if delta.cursor.term < self.term:
            return
        if delta.is_full and delta.is_complete:
            self.replace_all(delta)
        else:
            self.merge_delta(delta)
        if not delta.is_full or delta.is_complete:
            self.term = delta.cursor.term
            self.version = delta.cursor.version
        if delta.nodes or delta.targets or delta.removed_nodes or delta.removed_targets:
            self.notify_listeners()

    def replace_all(self, delta: ViewDelta) -> None:
        """Forget what the leader does not have."""
        self.nodes.clear()
        self.targets.clear()
        self.targets_by_number.clear()
        self.merge_delta(delta)
        for target_id in set(self.loads) - set(self.targets.items):
            del self.loads[target_id]

    def merge_delta(self, delta: ViewDelta) -> None:
        """Add what changed and remove what went."""
        if delta.nodes or delta.removed_nodes or delta.is_full:
            self.nodes_version += 1
        for node in delta.nodes:
            self.nodes.set(node.node_id, node)
        for target in delta.targets:
            self.targets.set(target.target_id, target)
        for target, number in zip(delta.targets, delta.numbers):
            self.targets_by_number[number] = target.target_id
        for row in unpack_loads(delta.loads):
            self.record_load_row(row, delta.versions)
        for node_id in delta.removed_nodes:
            self.nodes.remove(node_id)
        for target_id in delta.removed_targets:
            self.targets.remove(target_id)
            self.loads.pop(target_id, None)

    def record_load_row(self, row: LoadRow, versions: list[str]) -> None:
        """Take a report from the leader."""
        target = self.targets.items.get(
            self.targets_by_number.get(row.target_number, "")
        )
        if target is None:
            return
        self.report_count += 1
        self.loads[target.target_id] = TargetLoad(
            target.target_id,
            target.incarnation,
            self.report_count,
            running=row.running,
            queued_prefill_tokens=row.queued_prefill_tokens,
            weight_version=versions[row.version_index],
            is_loading=row.is_loading,
        )

    def record_load(self, load: TargetLoad) -> None:
        """Take a report that this node heard from the target itself."""
        if load.target_id in self.targets.items:
            self.report_count += 1
            self.loads[load.target_id] = replace(load, sequence=self.report_count)

    def record_leaving(self, target: TargetInfo) -> None:
        """Remember a target that told this node that it leaves."""
        self.leaving_incarnations[target.target_id] = target.incarnation
        self.notify_listeners()

    def notify_listeners(self) -> None:
        """Tell the listeners of a change."""
        for listener in self.listeners:
            listener()

    def is_accepting_work(self, target: TargetInfo) -> bool:
        """Whether a target may get new work."""
        return (
            target.state == ACTIVE
            and self.leaving_incarnations.get(target.target_id, -1) < target.incarnation
            and target.target_id not in self.drained_targets
        )

    def get_available_targets(self, pool: str) -> list[TargetInfo]:
        """Return the targets of a pool that may get new work."""
        return [
            target
            for target in self.targets.items.values()
            if target.pool == pool and self.is_accepting_work(target)
        ]

    def get_active_nodes(self) -> list[NodeInfo]:
        """Return the nodes that are not shutting down."""
        return [node for node in self.nodes.items.values() if not node.is_draining]
