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

SILENT_INTERVALS = 3.0
"""Announcement intervals after which a target counts as silent."""

FORGET_S = 30.0
"""Silence after which a target is taken for gone."""


@dataclass
class Known:
    """A target and when it was heard."""

    record: TargetRecord
    heard_s: float
    changed: int
    """Sequence of the table at the record's last change."""


class TargetTable:
    """Targets by identifier.

    Args:
        interval_s: Interval of the targets' announcements.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.known: dict[str, Known] = {}
        self.sequence = 0

    def get_records(self) -> list[TargetRecord]:
        """Return every target that is not gone."""
        return [k.record for k in self.known.values() if not k.record.is_gone]

    def get_changes(self, after: int) -> list[TargetRecord]:
        """Return what changed after a sequence."""
        return [k.record for k in self.known.values() if k.changed > after]

    def take(self, record: TargetRecord, now_s: float) -> bool:
        """Take an announcement.

        Returns:
            Whether other nodes have to know of it.
        """
        known = self.known.get(record.target_id)
        if known is None:
            if self.is_superseded(record):
                return False
            self.put(record, now_s)
            return True
        old = known.record
        if (record.born_ms, record.sequence) <= (old.born_ms, old.sequence) or (
            old.is_gone and record.born_ms <= old.born_ms
        ):
            return False
        if record.born_ms == old.born_ms:
            record = carry_over(record, old)
        known.heard_s = now_s
        if is_same(record, old):
            known.record = record
            return False
        self.put(record, now_s)
        return True

    def put(self, record: TargetRecord, now_s: float) -> None:
        """Store a changed record; it ends what had its address before."""
        self.sequence += 1
        self.known[record.target_id] = Known(record, now_s, self.sequence)
        if record.is_gone:
            return
        for other in list(self.known.values()):
            is_older = other.record.born_ms < record.born_ms
            if other.record.address == record.address and is_older:
                self.mark_gone(other.record.target_id, now_s)

    def is_superseded(self, record: TargetRecord) -> bool:
        """Whether a younger target has the record's address."""
        return any(
            other.record.address == record.address
            and other.record.born_ms > record.born_ms
            for other in self.known.values()
        )

    def mark_gone(self, target_id: str, now_s: float) -> bool:
        """Note that a target is gone; return whether that is new."""
        known = self.known.get(target_id)
        if known is None or known.record.is_gone:
            return False
        self.put(replace(known.record, is_gone=True), now_s)
        return True

    def take_changes(self, records: Iterable[TargetRecord], now_s: float) -> None:
        """Take what a leader sent, unless something newer is known."""
        for record in records:
            known = self.known.get(record.target_id)
            if known is None or not is_older(record, known.record):
                self.put(record, now_s)

    def mark_silent(self, target_id: str) -> bool:
        """Note that a target has gone silent; return whether that is new."""
        return self.change(target_id, is_silent=True)

    def change(self, target_id: str, **changes: Any) -> bool:
        """Change what a leader itself knows of a target.

        Returns:
            Whether anything has changed.
        """
        known = self.known.get(target_id)
        if known is None or known.record.is_gone:
            return False
        record = replace(known.record, **changes)
        if record == known.record:
            return False
        self.put(record, known.heard_s)
        return True

    def check_silence(self, now_s: float) -> bool:
        """Note targets that have gone silent; return whether any has."""
        is_changed = False
        for target_id, known in list(self.known.items()):
            silence_s = now_s - known.heard_s
            if known.record.is_gone:
                if silence_s > TOMBSTONE_S:
                    del self.known[target_id]
            elif silence_s > FORGET_S:
                is_changed |= self.mark_gone(target_id, now_s)
            elif silence_s > self.interval_s * SILENT_INTERVALS:
                is_changed |= self.mark_silent(target_id)
        return is_changed


def is_older(record: TargetRecord, known: TargetRecord) -> bool:
    """Whether a record tells of an earlier time than the known one."""
    if record.born_ms != known.born_ms:
        return record.born_ms < known.born_ms
    if known.is_gone != record.is_gone:
        return known.is_gone
    if known.is_leaving and not record.is_leaving:
        return True
    return record.sequence < known.sequence


def carry_over(record: TargetRecord, old: TargetRecord) -> TargetRecord:
    """Return an announcement with what the same target cannot take back."""
    versions = {
        model: max(version, old.versions.get(model, 0))
        for model, version in record.versions.items()
    }
    return replace(
        record,
        is_leaving=record.is_leaving or old.is_leaving,
        is_loading=old.is_loading,
        is_retiring=old.is_retiring,
        versions=versions,
    )


def is_same(record: TargetRecord, old: TargetRecord) -> bool:
    """Whether two announcements differ in nothing that nodes act on."""
    return replace(record, sequence=0, cold_s=0.0) == replace(
        old, sequence=0, cold_s=0.0
    )
