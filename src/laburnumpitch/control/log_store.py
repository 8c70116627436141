"""Durable storage of one replica: identity, log and snapshot files.

The log file is a sequence of records, each of a magic number, a length, a CRC-32
and a msgpack body. One record holds all that is made durable by one sync, and it
is written only after the previous sync has returned. An invalid record at the end
is therefore a torn write and is dropped. An invalid record with a valid one after
it means that durable data was lost, and the replica refuses to start.
"""

from __future__ import annotations

import os
import struct
import uuid
import zlib
from contextlib import suppress
from dataclasses import dataclass
from io import FileIO
from pathlib import Path

import msgspec

from ..errors import LogCorruptError, SettingsError
from .raft_log import RaftLog
from .raft_messages import Entry, HardState, Member, PendingWrites, SnapshotMeta

RECORD_MAGIC = b"LPR1"
RECORD_HEADER = struct.Struct("<4sII")
"""Magic number, length of the body in bytes, and CRC-32 of the body."""

REPLICA_ID_SEPARATOR = "#"
"""Separates a replica's name from the suffix that is unique to its data folder."""

IDENTITY_FILE = "identity"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"


@dataclass(frozen=True)
class Identity:
    """The cluster and the replica that a data folder belongs to."""

    cluster_id: str
    replica_id: str
    members: list[Member]
    """Initial members of the cluster; empty for a replica that joins later."""


@dataclass(frozen=True)
class Record:
    """Body of a log record: the data that one sync makes durable."""

    hard_state: HardState | None
    entries: list[Entry]


@dataclass(frozen=True)
class Snapshot:
    """The serialised state machine at a log index."""

    meta: SnapshotMeta
    data: bytes


@dataclass(frozen=True)
class StoredState:
    """Durable state that a replica loads from its data folder at the start."""

    hard_state: HardState
    log: RaftLog
    snapshot: Snapshot


def fsync_folder(folder: Path) -> None:
    """Sync a folder, so that created and renamed files in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file_durably(path: Path, data: bytes) -> None:
    """Replace a file atomically; after a crash it has the old or the new data."""
    temporary = path.with_suffix(".new")
    try:
        with open(temporary, "wb", buffering=0) as stream:
            write_all(stream, data)
            os.fsync(stream.fileno())
        os.replace(temporary, path)
    except OSError:
        # A part of a file would take the room of the next attempt.
        with suppress(OSError):
            temporary.unlink()
        raise
    fsync_folder(path.parent)


def write_all(stream: FileIO, data: bytes) -> None:
    """Write data to an unbuffered file, which may take a part of it at a time.

    A buffer would keep what a full disk has refused, and write it later.

    Raises:
        OSError: If not all of it could be written.
    """
    left = memoryview(data)
    while left:
        left = left[stream.write(left) :]


def encode_record(body: bytes) -> bytes:
    """Return a record with its header for a body."""
    return RECORD_HEADER.pack(RECORD_MAGIC, len(body), zlib.crc32(body)) + body


def decode_record(data: bytes, offset: int) -> bytes | None:
    """Return the body of the record at an offset, or None if it is invalid."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    magic, length, checksum = RECORD_HEADER.unpack_from(data, offset)
    body = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + length]
    if magic != RECORD_MAGIC or len(body) < length or zlib.crc32(body) != checksum:
        return None
    return body


def has_valid_record_after(data: bytes, offset: int) -> bool:
    """Whether a valid record starts anywhere after an offset."""
    position = data.find(RECORD_MAGIC, offset + 1)
    while position >= 0:
        if decode_record(data, position) is not None:
            return True
        position = data.find(RECORD_MAGIC, position + 1)
    return False


def create_identity(
    folder: Path, cluster_id: str, replica_id: str, members: list[Member]
) -> None:
    """Write the identity of a new replica into its data folder.

    Raises:
        SettingsError: If the folder already belongs to a replica.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    if path.exists():
        raise SettingsError(f"data folder {folder} already belongs to a replica")
    replace_file_durably(
        path,
        encode_record(
            msgspec.msgpack.encode(Identity(cluster_id, replica_id, members))
        ),
    )


def remove_identity(folder: Path) -> None:
    """Remove the identity of a replica durably, if the folder has one."""
    (folder / IDENTITY_FILE).unlink(missing_ok=True)
    fsync_folder(folder)


def make_unique_replica_id(name: str) -> str:
    """Return a replica identifier that no earlier data folder of this name had."""
    return f"{name}{REPLICA_ID_SEPARATOR}{uuid.uuid4().hex[:8]}"


def make_initial_replica_id(name: str, cluster_id: str) -> str:
    """Return the identifier of an initial member, the same on every node."""
    return f"{name}{REPLICA_ID_SEPARATOR}{cluster_id}"


def get_replica_name(replica_id: str) -> str:
    """Return the configured name of a replica."""
    return replica_id.partition(REPLICA_ID_SEPARATOR)[0]


class LogStore:
    """Reads and writes the files of one replica.

    Args:
        folder: Data folder; `create_identity` must run on it before `load`.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.log_size_bytes = 0

    def has_identity(self) -> bool:
        """Whether the folder already belongs to a replica."""
        return (self.folder / IDENTITY_FILE).exists()

    def load_identity(self) -> Identity:
        """Read the identity of the replica that the folder belongs to.

        Raises:
            LogCorruptError: If the identity file is corrupt.
        """
        body = decode_record((self.folder / IDENTITY_FILE).read_bytes(), 0)
        if body is None:
            raise LogCorruptError(f"{self.folder / IDENTITY_FILE} is corrupt")
        return msgspec.msgpack.decode(body, type=Identity)

    def load(self) -> StoredState:
        """Read the snapshot and the log, dropping a torn write at the log's end.

        Raises:
            LogCorruptError: If a file is corrupt elsewhere.
        """
        snapshot = self.load_snapshot()
        hard_state = HardState(0, "")
        log = RaftLog(snapshot.meta, [])
        path = self.folder / LOG_FILE
        data = path.read_bytes() if path.exists() else b""
        offset = 0
        decoder = msgspec.msgpack.Decoder(Record)
        while offset < len(data):
            body = decode_record(data, offset)
            if body is None:
                if has_valid_record_after(data, offset):
                    raise LogCorruptError(f"{path} is corrupt at byte {offset}")
                break
            record = decoder.decode(body)
            hard_state = record.hard_state or hard_state
            self.replay_entries(log, record.entries)
            offset += RECORD_HEADER.size + len(body)
        self.open_log(offset)
        return StoredState(hard_state, log, snapshot)

    def replay_entries(self, log: RaftLog, entries: list[Entry]) -> None:
        """Apply stored entries in write order; a later entry replaces a log suffix.

        Raises:
            LogCorruptError: If an entry is missing.
        """
        for entry in entries:
            if entry.index <= log.snapshot_meta.index:
                continue
            if entry.index <= log.last_index:
                log.truncate_from(entry.index)
            if entry.index != log.last_index + 1:
                raise LogCorruptError(f"log entry {log.last_index + 1} is missing")
            log.entries.append(entry)

    def load_snapshot(self) -> Snapshot:
        """Read the snapshot, or return an empty one with the initial members.

        Raises:
            LogCorruptError: If the file is corrupt.
        """
        path = self.folder / SNAPSHOT_FILE
        if not path.exists():
            return Snapshot(SnapshotMeta(0, 0, self.load_identity().members), b"")
        body = decode_record(path.read_bytes(), 0)
        if body is None:
            raise LogCorruptError(f"{path} is corrupt")
        return msgspec.msgpack.decode(body, type=Snapshot)

    def open_log(self, log_size_bytes: int) -> None:
        """Open the log for appending and cut it after its last complete record."""
        self.log_file = open(self.folder / LOG_FILE, "ab", buffering=0)
        self.log_file.truncate(log_size_bytes)
        os.fsync(self.log_file.fileno())
        fsync_folder(self.folder)
        self.log_size_bytes = log_size_bytes

    def write(self, writes: PendingWrites) -> None:
        """Append pending writes to the log as one record and sync it."""
        record = encode_record(
            msgspec.msgpack.encode(Record(writes.hard_state, writes.entries))
        )
        write_all(self.log_file, record)
        os.fdatasync(self.log_file.fileno())
        self.log_size_bytes += len(record)

    def save_snapshot(
        self, snapshot: Snapshot, hard_state: HardState, entries: list[Entry]
    ) -> None:
        """Replace the snapshot file, then the log by the entries after the snapshot."""
        replace_file_durably(
            self.folder / SNAPSHOT_FILE, encode_record(msgspec.msgpack.encode(snapshot))
        )
        record = encode_record(msgspec.msgpack.encode(Record(hard_state, entries)))
        self.log_file.close()
        replace_file_durably(self.folder / LOG_FILE, record)
        self.log_file = open(self.folder / LOG_FILE, "ab", buffering=0)
        self.log_size_bytes = len(record)

    def close(self) -> None:
        """Close the log file."""
        self.log_file.close()
