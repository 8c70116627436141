"""Recovery of a replica's files after crashes, torn writes and corruption."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from laburnumpitch.control.log_store import (
    LOG_FILE,
    LogStore,
    Snapshot,
    create_identity,
    make_initial_replica_id,
    make_unique_replica_id,
)
from laburnumpitch.control.raft_messages import (
    COMMAND,
    Entry,
    HardState,
    PendingWrites,
    SnapshotMeta,
)
from laburnumpitch.errors import LogCorruptError, SettingsError


def make_writes(first: int, last: int, term: int = 1) -> PendingWrites:
    """Return a write with the entries of an index range."""
    entries = [
        Entry(index, term, COMMAND, f"{term}/{index}".encode())
        for index in range(first, last + 1)
    ]
    return PendingWrites(HardState(term, "a"), entries, None)


class LogStoreTest(testtools.TestCase):
    """Durability of a data folder across restarts."""

    def setUp(self) -> None:
        """Prepare a folder with three synced writes of two entries."""
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())
        create_identity(self.folder, "c", make_initial_replica_id("a", "c"), [])
        self.store = LogStore(self.folder)
        self.store.load()
        self.record_ends = [0]
        for first in (1, 3, 5):
            self.store.write(make_writes(first, first + 1))
            self.record_ends.append(self.store.log_size_bytes)
        self.store.close()
        self.log_path = self.folder / LOG_FILE

    def load_last_index(self) -> int:
        """Reopen the folder and return the log's last index."""
        store = LogStore(self.folder)
        stored = store.load()
        store.close()
        return stored.log.last_index

    def test_restart(self) -> None:
        """All synced entries are recovered."""
        self.assertEqual(6, self.load_last_index())

    def test_torn_tail(self) -> None:
        """A last write torn at any byte is dropped; earlier writes are recovered."""
        data = self.log_path.read_bytes()
        for size in range(self.record_ends[2], self.record_ends[3]):
            self.log_path.write_bytes(data[:size])
            self.assertEqual(4, self.load_last_index(), size)

    def test_damaged_tail(self) -> None:
        """A last write with a flipped bit is dropped."""
        data = bytearray(self.log_path.read_bytes())
        data[-1] ^= 1
        self.log_path.write_bytes(data)
        self.assertEqual(4, self.load_last_index())

    def test_corrupt_middle(self) -> None:
        """A flipped bit before the last write is refused as corruption."""
        valid_data = self.log_path.read_bytes()
        for position in range(0, self.record_ends[2], 7):
            data = bytearray(valid_data)
            data[position] ^= 1
            self.log_path.write_bytes(data)
            self.assertRaises(LogCorruptError, self.load_last_index)

    def test_conflicting_tail(self) -> None:
        """A later entry truncates the log from its index on."""
        store = LogStore(self.folder)
        store.load()
        store.write(make_writes(4, 4, term=2))
        store.close()
        stored = LogStore(self.folder).load()
        self.assertEqual((4, 2), (stored.log.last_index, stored.log.last_term))

    def test_snapshot(self) -> None:
        """A snapshot replaces the entries that it covers."""
        store = LogStore(self.folder)
        entries = store.load().log.entries
        meta = SnapshotMeta(4, 1, [])
        store.save_snapshot(Snapshot(meta, b"state"), HardState(3, "b"), entries[4:])
        store.close()
        stored = LogStore(self.folder).load()
        self.assertEqual(b"state", stored.snapshot.data)
        self.assertEqual(HardState(3, "b"), stored.hard_state)
        self.assertEqual([5, 6], [entry.index for entry in stored.log.entries])

    def test_identity(self) -> None:
        """A folder's identity can't be replaced; a new folder gets a new identifier."""
        self.assertRaises(SettingsError, create_identity, self.folder, "c", "x", [])
        self.assertNotEqual(make_unique_replica_id("a"), make_unique_replica_id("a"))
