"""The in-memory part of the replicated log."""

from __future__ import annotations

from .raft_messages import MEMBERSHIP, Entry, Member, SnapshotMeta


class RaftLog:
    """The log entries after a snapshot.

    Args:
        snapshot_meta: Metadata of the snapshot before the first entry.
        entries: Entries that follow the snapshot without a gap.
    """

    def __init__(self, snapshot_meta: SnapshotMeta, entries: list[Entry]) -> None:
        self.snapshot_meta = snapshot_meta
        self.entries = entries

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.snapshot_meta.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot_meta.term

    def get_term(self, index: int) -> int | None:
        """Return the term at an index, or None if the log does not have it."""
        if index == self.snapshot_meta.index:
            return self.snapshot_meta.term
        if self.snapshot_meta.index < index <= self.last_index:
            return self.entries[index - self.snapshot_meta.index - 1].term
        return None

    def get_entries_from(self, index: int, limit: int) -> list[Entry]:
        """Return at most `limit` entries, beginning at an index."""
        start = index - self.snapshot_meta.index - 1
        return self.entries[start : start + limit]

    def get_entries_after(self, index: int) -> list[Entry]:
        """Return all entries after an index."""
        return self.entries[max(0, index - self.snapshot_meta.index) :]

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later ones."""
        del self.entries[index - self.snapshot_meta.index - 1 :]

    def compact(self, snapshot_meta: SnapshotMeta) -> None:
        """Discard the entries that a newer snapshot covers.

        All entries are discarded if the log does not match the snapshot.
        """
        if self.get_term(snapshot_meta.index) == snapshot_meta.term:
            self.entries = self.entries[
                snapshot_meta.index - self.snapshot_meta.index :
            ]
        else:
            self.entries = []
        self.snapshot_meta = snapshot_meta

    def make_snapshot_meta(self, index: int) -> SnapshotMeta:
        """Return the metadata of a snapshot at an index of the log."""
        members = self.snapshot_meta.members
        for entry in self.entries[: index - self.snapshot_meta.index]:
            members = entry.members or members
        term = self.get_term(index)
        return SnapshotMeta(index, term if term is not None else 0, members)

    def get_latest_members(self) -> list[Member]:
        """Return the members of the latest membership entry, committed or not."""
        for entry in reversed(self.entries):
            if entry.kind == MEMBERSHIP:
                return entry.members
        return self.snapshot_meta.members

    def get_committed_members(self, commit_index: int) -> list[Member]:
        """Return the members of the latest committed membership entry."""
        for entry in reversed(self.entries[: commit_index - self.snapshot_meta.index]):
            if entry.kind == MEMBERSHIP:
                return entry.members
        return self.snapshot_meta.members

    def has_uncommitted_membership(self, commit_index: int) -> bool:
        """Whether a membership change is not committed yet."""
        uncommitted_entries = self.entries[
            max(0, commit_index - self.snapshot_meta.index) :
        ]
        return any(entry.kind == MEMBERSHIP for entry in uncommitted_entries)
