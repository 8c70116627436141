"""A node's local copy of the cluster's state: nodes, targets and loads."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

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
    """A node's copy of the leader's view of nodes, targets and loads.

    It is updated with the leader's deltas, and with the announcements that targets
    send to this node.
    """

    def __init__(self) -> None:
        self.nodes: DigestedTable[NodeInfo] = DigestedTable()
        self.targets: DigestedTable[TargetInfo] = DigestedTable()
        self.loads: dict[str, TargetLoad] = {}
        self.targets_by_number: dict[int, str] = {}
        """Target id by the target's number in the leader's packed load reports."""
        self.report_count = 0
        """Load reports recorded so far; gives each report its sequence number here."""
        self.drained_targets: frozenset[str] = frozenset()
        """Targets that an operator has drained."""
        self.leaving_incarnations: dict[str, int] = {}
        """Incarnation by target of those that announced to this node that they are
        leaving."""
        self.term = 0
        self.version = 0
        self.nodes_version = 0
        """Number of changes to the nodes; data derived from them stays valid until it
        changes."""
        self.listeners: list[Callable[[], None]] = []
        """Called after nodes or targets have changed."""

    @property
    def cursor(self) -> ViewCursor:
        """The version of the leader's view up to which this copy is current."""
        return ViewCursor(
            self.term, self.version, self.nodes.digest ^ self.targets.digest
        )

    def apply_delta(self, delta: ViewDelta) -> None:
        """Apply the leader's changes; ignore those of an earlier term.

        A full view replaces this one only if it is complete. A new leader's view
        that may lack nodes and targets is merged into this one.
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
        """Replace this copy with a full view; drop loads of targets that it lacks."""
        self.nodes.clear()
        self.targets.clear()
        self.targets_by_number.clear()
        self.merge_delta(delta)
        for target_id in set(self.loads) - set(self.targets.items):
            del self.loads[target_id]

    def merge_delta(self, delta: ViewDelta) -> None:
        """Add or replace the changed items and remove the removed ones."""
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
        """Record a load report from the leader, unless its target is unknown."""
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
        """Record a load report that a target sent to this node.

        Does nothing if the target is not in the view yet.
        """
        if load.target_id in self.targets.items:
            self.report_count += 1
            self.loads[load.target_id] = replace(load, sequence=self.report_count)

    def record_leaving(self, target: TargetInfo) -> None:
        """Record that a target has announced to this node that it is leaving."""
        self.leaving_incarnations[target.target_id] = target.incarnation
        self.notify_listeners()

    def notify_listeners(self) -> None:
        """Call the listeners after a change."""
        for listener in self.listeners:
            listener()

    def is_accepting_work(self, target: TargetInfo) -> bool:
        """Whether a target may be sent new work."""
        return (
            target.state == ACTIVE
            and self.leaving_incarnations.get(target.target_id, -1) < target.incarnation
            and target.target_id not in self.drained_targets
        )

    def get_available_targets(self, pool: str) -> list[TargetInfo]:
        """Return the targets of a pool that may be sent new work."""
        return [
            target
            for target in self.targets.items.values()
            if target.pool == pool and self.is_accepting_work(target)
        ]

    def get_active_nodes(self) -> list[NodeInfo]:
        """Return the nodes that are not draining."""
        return [node for node in self.nodes.items.values() if not node.is_draining]
