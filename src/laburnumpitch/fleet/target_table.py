"""Targets as they announced themselves, in whatever order it arrived.

The same table serves the leader, which takes announcements, and each node, which
takes the leader's changes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from .messages import TargetRecord

TOMBSTONE_S = 60.0
"""Time for which a late announcement of a target that is gone is recognised; far
longer than any partition delays one."""

MAX_MISSED_INTERVALS = 3.0
"""Announcement intervals after which a target counts as silent."""

GONE_TIMEOUT_S = 30.0
"""Silence after which a target is taken for gone."""


@dataclass
class TargetEntry:
    """A target and when it was heard."""

    record: TargetRecord
    last_seen_s: float
    changed_sequence: int
    """Sequence of the table at the record's last change."""


class TargetTable:
    """Targets by identifier.

    Args:
        interval_s: Interval of the targets' announcements.
    """

    def __init__(self, announce_interval_s: float) -> None:
        self.announce_interval_s = announce_interval_s
        self.entries: dict[str, TargetEntry] = {}
        self.sequence = 0

    def get_records(self) -> list[TargetRecord]:
        """Return every target that is not gone."""
        return [e.record for e in self.entries.values() if not e.record.is_gone]

    def get_changes(self, after: int) -> list[TargetRecord]:
        """Return what changed after a sequence."""
        return [e.record for e in self.entries.values() if e.changed_sequence > after]

    def apply_announcement(self, record: TargetRecord, now_s: float) -> bool:
        """Take an announcement.

        Returns:
            Whether other nodes have to know of it.
        """
        entry = self.entries.get(record.target_id)
        if entry is None:
            if self.is_superseded(record):
                return False
            self.put(record, now_s)
            return True
        previous = entry.record
        if (record.born_ms, record.sequence) <= (
            previous.born_ms,
            previous.sequence,
        ) or (previous.is_gone and record.born_ms <= previous.born_ms):
            return False
        if record.born_ms == previous.born_ms:
            record = merge_with_previous(record, previous)
        entry.last_seen_s = now_s
        if is_equivalent(record, previous):
            entry.record = record
            return False
        self.put(record, now_s)
        return True

    def put(self, record: TargetRecord, now_s: float) -> None:
        """Store a changed record; it ends what had its address before."""
        self.sequence += 1
        self.entries[record.target_id] = TargetEntry(record, now_s, self.sequence)
        if record.is_gone:
            return
        for other in list(self.entries.values()):
            is_older = other.record.born_ms < record.born_ms
            if other.record.address == record.address and is_older:
                self.mark_gone(other.record.target_id, now_s)

    def is_superseded(self, record: TargetRecord) -> bool:
        """Whether a younger target has the record's address."""
        return any(
            other.record.address == record.address
            and other.record.born_ms > record.born_ms
            for other in self.entries.values()
        )

    def mark_gone(self, target_id: str, now_s: float) -> bool:
        """Note that a target is gone; return whether that is new."""
        entry = self.entries.get(target_id)
        if entry is None or entry.record.is_gone:
            return False
        self.put(replace(entry.record, is_gone=True), now_s)
        return True

    def apply_changes(self, records: Iterable[TargetRecord], now_s: float) -> None:
        """Take what a leader sent, unless something newer is known."""
        for record in records:
            entry = self.entries.get(record.target_id)
            if entry is None or not is_older(record, entry.record):
                self.put(record, now_s)

    def mark_not_announcing(self, target_id: str) -> bool:
        """Note that a target has gone silent; return whether that is new."""
        return self.update(target_id, is_silent=True)

    def update(self, target_id: str, **changes: Any) -> bool:
        """Change what a leader itself knows of a target.

        Returns:
            Whether anything has changed.
        """
        entry = self.entries.get(target_id)
        if entry is None or entry.record.is_gone:
            return False
        record = replace(entry.record, **changes)
        if record == entry.record:
            return False
        self.put(record, entry.last_seen_s)
        return True

    def check_announcements(self, now_s: float) -> bool:
        """Note targets that have gone silent; return whether any has."""
        is_changed = False
        for target_id, entry in list(self.entries.items()):
            silence_s = now_s - entry.last_seen_s
            if entry.record.is_gone:
                if silence_s > TOMBSTONE_S:
                    del self.entries[target_id]
            elif silence_s > GONE_TIMEOUT_S:
                is_changed |= self.mark_gone(target_id, now_s)
            elif silence_s > self.announce_interval_s * MAX_MISSED_INTERVALS:
                is_changed |= self.mark_not_announcing(target_id)
        return is_changed


def is_older(record: TargetRecord, current: TargetRecord) -> bool:
    """Whether a record tells of an earlier time than the known one."""
    if record.born_ms != current.born_ms:
        return record.born_ms < current.born_ms
    if current.is_gone != record.is_gone:
        return current.is_gone
    if current.is_leaving and not record.is_leaving:
        return True
    return record.sequence < current.sequence


def merge_with_previous(record: TargetRecord, previous: TargetRecord) -> TargetRecord:
    """Return an announcement with what the same target cannot take back."""
    versions = {
        model: max(version, previous.versions.get(model, 0))
        for model, version in record.versions.items()
    }
    return replace(
        record,
        is_leaving=record.is_leaving or previous.is_leaving,
        is_loading=previous.is_loading,
        is_retiring=previous.is_retiring,
        versions=versions,
    )


def is_equivalent(record: TargetRecord, previous: TargetRecord) -> bool:
    """Whether two announcements differ in nothing that nodes act on."""
    return replace(record, sequence=0, cold_s=0.0) == replace(
        previous, sequence=0, cold_s=0.0
    )
