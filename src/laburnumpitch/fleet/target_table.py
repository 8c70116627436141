"""Table of targets, built from announcements that may arrive in any order.

The leader applies announcements of targets to it; each other node applies the changes
that the leader publishes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain
from typing import Any

from msgspec.structs import replace

from ..transport.codec import check_encodable
from .messages import TargetRecord

TOMBSTONE_S = 60.0
"""Time for which a gone target's entry is kept, so that a late announcement does not
bring the target back; far longer than a partition can delay an announcement."""

COLD_TOLERANCE_S = 0.1
"""Change of a target's cold time, apart from the time that has passed, that is sent to
the nodes; announcements are delayed by less in undisturbed operation."""

MAX_MISSED_INTERVALS = 3.0
"""Announcement intervals without an announcement after which a target counts as not
announcing (`is_silent`)."""

GONE_TIMEOUT_S = 30.0
"""Time without an announcement after which a target counts as gone, until it announces
itself again."""

ANY_INCARNATION = 0
"""`born_ms` of the record of a departed target that the leader does not know; nodes
apply it to the incarnation that they have."""


@dataclass
class TargetEntry:
    """A target in the table."""

    record: TargetRecord
    last_seen_s: float
    """Time of the last announcement; on nodes other than the leader, or for a gone
    target, time of the last change."""
    changed_sequence: int
    """Sequence number of the record's last change."""


class TargetTable:
    """Targets by identifier.

    Args:
        announce_interval_s: Interval of the targets' announcements.
        is_known_service: Returns whether a service is configured. An announcement of
            any other service, which may be another writer's, does not end a target.
    """

    def __init__(
        self,
        announce_interval_s: float,
        is_known_service: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self.announce_interval_s = announce_interval_s
        self.is_known_service = is_known_service
        self.entries: dict[str, TargetEntry] = {}
        self.former: dict[str, TargetRecord] = {}
        """Targets of a former leader that were not heard of in this term. They are
        published with the first call that concerns them."""
        self.sequence = 0

    def get_records(self) -> list[TargetRecord]:
        """Return the records of all targets that are not gone."""
        return [e.record for e in self.entries.values() if not e.record.is_gone]

    def get_changes(self, after: int) -> list[TargetRecord]:
        """Return the records that changed after a sequence number."""
        return [e.record for e in self.entries.values() if e.changed_sequence > after]

    def adopt(self, entries: Iterable[TargetEntry], now_s: float) -> None:
        """Remember what a node knows from a former leader, for the start of a term.

        What only that leader did, such as loads of weights, is not remembered.
        """
        for entry in entries:
            record = entry.record
            if not record.is_gone:
                record = replace(
                    record,
                    is_silent=False,
                    is_loading=False,
                    is_retiring=False,
                    returns=0,
                )
            elif now_s - entry.last_seen_s > TOMBSTONE_S:
                continue
            self.former[record.target_id] = record

    def restore(self, target_id: str, now_s: float) -> bool:
        """Publish a target of a former leader; return whether it was one."""
        record = self.former.pop(target_id, None)
        if record is None:
            return False
        self.put(record, now_s)
        return True

    def apply_announcement(
        self, record: TargetRecord, now_s: float, is_cold_limited: bool = False
    ) -> bool:
        """Apply an announcement, unless a newer one is known.

        Args:
            record: The announcement.
            now_s: Monotonic time.
            is_cold_limited: Whether nodes limit the requests to the target while it is
                cold, and so need to know changes of that time.

        Returns:
            Whether it changes anything that other nodes act on.
        """
        is_restored = self.restore(record.target_id, now_s)
        is_changed = self.merge_announcement(record, now_s, is_cold_limited)
        return is_changed or is_restored

    def merge_announcement(
        self, record: TargetRecord, now_s: float, is_cold_limited: bool
    ) -> bool:
        """Apply an announcement of a target, as `apply_announcement` does."""
        entry = self.entries.get(record.target_id)
        if entry is None:
            if self.is_superseded(record):
                return False
            self.put(record, now_s)
            return True
        previous = entry.record
        if self.is_known_service(previous.service) and not self.is_known_service(
            record.service
        ):
            return False
        if (record.born_ms, record.sequence) <= (
            previous.born_ms,
            previous.sequence,
        ):
            return False
        has_ended = previous.is_gone and not previous.has_expired
        if has_ended and record.born_ms <= previous.born_ms:
            return False
        if record.born_ms == previous.born_ms:
            record = merge_with_previous(record, previous)
        elapsed_s = now_s - entry.last_seen_s
        entry.last_seen_s = now_s
        if is_equivalent(record, previous) and not (
            is_cold_limited and has_other_cold_time(record, previous, elapsed_s)
        ):
            entry.record = record
            return False
        self.put(record, now_s)
        return True

    def put(self, record: TargetRecord, now_s: float) -> None:
        """Store a changed record; older targets at its address are then gone.

        Raises:
            CodecError: If the record cannot be sent to other nodes. In the table it
                would fail the leader's answers to all of them.
        """
        check_encodable(record)
        self.sequence += 1
        self.entries[record.target_id] = TargetEntry(record, now_s, self.sequence)
        if record.is_gone or not self.is_known_service(record.service):
            return
        for other in list(self.entries.values()):
            is_older = other.record.born_ms < record.born_ms
            if other.record.address == record.address and is_older:
                self.mark_gone(other.record.target_id, now_s)

    def is_superseded(self, record: TargetRecord) -> bool:
        """Whether a target that started later has the record's address."""
        known = chain((e.record for e in self.entries.values()), self.former.values())
        return any(
            other.address == record.address
            and other.born_ms > record.born_ms
            and self.is_known_service(other.service)
            for other in known
        )

    def mark_gone(
        self, target_id: str, now_s: float, has_expired: bool = False
    ) -> bool:
        """Mark a target as gone; return whether that changes it.

        Args:
            target_id: The target.
            now_s: Monotonic time.
            has_expired: Whether it may only have been cut off, and come back.
        """
        entry = self.entries.get(target_id)
        if (
            entry is None
            or entry.record.is_gone
            and (has_expired or not entry.record.has_expired)
        ):
            return False
        record = replace(entry.record, is_gone=True, has_expired=has_expired)
        self.put(record, now_s)
        return True

    def depart(self, target_id: str, now_s: float) -> bool:
        """Mark a target as gone that has departed; return whether that changes it.

        The leader may not have heard of the target, while other nodes send it requests.
        """
        is_restored = self.restore(target_id, now_s)
        if target_id in self.entries:
            return self.mark_gone(target_id, now_s) or is_restored
        self.put(make_departed(target_id), now_s)
        return True

    def apply_changes(self, records: Iterable[TargetRecord], now_s: float) -> None:
        """Apply records that the leader sent, except those that are out of date."""
        for record in records:
            entry = self.entries.get(record.target_id)
            if record.is_gone and record.born_ms == ANY_INCARNATION:
                self.mark_gone(record.target_id, now_s)
            elif entry is None or not is_older(record, entry.record):
                self.put(record, now_s)

    def mark_not_announcing(self, target_id: str) -> bool:
        """Mark a target as not announcing; return whether that changes it."""
        return self.update(target_id, is_silent=True)

    def update(self, target_id: str, **changes: Any) -> bool:
        """Change fields of a target's record other than by an announcement.

        Returns:
            Whether the record has changed.
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
        """Mark targets that no longer announce themselves; remove expired entries.

        Returns:
            Whether any target's record has changed.
        """
        is_changed = False
        for target_id, entry in list(self.entries.items()):
            since_last_seen_s = now_s - entry.last_seen_s
            if entry.record.is_gone:
                if since_last_seen_s > TOMBSTONE_S:
                    del self.entries[target_id]
            elif since_last_seen_s > GONE_TIMEOUT_S:
                is_changed |= self.mark_gone(target_id, now_s, has_expired=True)
            elif since_last_seen_s > self.announce_interval_s * MAX_MISSED_INTERVALS:
                is_changed |= self.mark_not_announcing(target_id)
        return is_changed


def make_departed(target_id: str) -> TargetRecord:
    """Return the record of a departed target of which nothing else is known."""
    return TargetRecord(
        target_id=target_id,
        service="",
        address="",
        data_centre="",
        born_ms=ANY_INCARNATION,
        sequence=0,
        slots=0,
        is_gone=True,
    )


def is_older(record: TargetRecord, current: TargetRecord) -> bool:
    """Whether a record describes an earlier state than the current one."""
    if record.born_ms != current.born_ms:
        return record.born_ms < current.born_ms
    if current.is_gone and not record.is_gone:
        has_come_back = current.has_expired and record.sequence > current.sequence
        return not has_come_back
    if record.is_gone and not current.is_gone:
        return record.has_expired and record.sequence < current.sequence
    if current.is_leaving and not record.is_leaving:
        return True
    return record.sequence < current.sequence


def merge_with_previous(record: TargetRecord, previous: TargetRecord) -> TargetRecord:
    """Return an announcement merged with the same incarnation's previous record.

    A target does not stop leaving, its weight versions do not decrease, its build does
    not change, and the leader alone sets `is_loading` and `is_retiring`.
    """
    versions = {
        model: max(version, previous.versions.get(model, 0))
        for model, version in record.versions.items()
    }
    return replace(
        record,
        is_leaving=record.is_leaving or previous.is_leaving,
        has_said_leaving=previous.has_said_leaving,
        returns=previous.returns + (previous.is_silent or previous.is_gone),
        is_loading=previous.is_loading,
        is_retiring=previous.is_retiring,
        versions=versions,
        build=previous.build or record.build,
    )


def has_other_cold_time(
    record: TargetRecord, previous: TargetRecord, elapsed_s: float
) -> bool:
    """Whether a target's cold time differs from what the former announcement says.

    Args:
        record: The announcement.
        previous: The former one.
        elapsed_s: Time between the two.
    """
    expected_s = max(0.0, previous.cold_s - elapsed_s)
    return abs(record.cold_s - expected_s) > COLD_TOLERANCE_S


def is_equivalent(record: TargetRecord, previous: TargetRecord) -> bool:
    """Whether two records are equal in all fields that nodes act on.

    `states_cold` depends on the software of the node that received the announcement.
    """
    ignored = {"sequence": 0, "cold_s": 0.0, "states_cold": False}
    return replace(record, **ignored) == replace(previous, **ignored)
