"""Keeps a node's view of the fleet on its disk, to serve at once after a restart."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ..control.log_store import decode_record, encode_record, replace_file_durably
from ..errors import CodecError
from ..logging import get_logger
from ..transport.codec import decode, encode
from .follower import Follower
from .messages import FleetSnapshot

FILE = "view"

INTERVAL_S = 0.5
"""Least time between writes."""


class SnapshotFile:
    """Writes the view as it changes, and reads it at the start.

    Args:
        folder: Data folder.
        follower: This node's view.
    """

    def __init__(self, folder: Path, follower: Follower) -> None:
        self.path = folder / FILE
        self.follower = follower
        self.is_changed = asyncio.Event()
        self.log = get_logger()
        follower.on_change.append(self.is_changed.set)

    def load(self) -> None:
        """Take the view that was written last, if it is whole."""
        try:
            body = decode_record(self.path.read_bytes(), 0)
            snapshot = decode(body) if body is not None else None
        except (OSError, CodecError) as error:
            self.log.info("view_not_read", detail=str(error))
            return
        if isinstance(snapshot, FleetSnapshot):
            self.follower.take_snapshot(snapshot)

    async def run(self) -> None:
        """Write the view whenever it has changed, until cancelled."""
        written = None
        while True:
            await self.is_changed.wait()
            self.is_changed.clear()
            snapshot = self.follower.make_snapshot()
            if snapshot is not None and snapshot != written:
                written = snapshot
                await self.write(snapshot)
            await asyncio.sleep(INTERVAL_S)

    async def write(self, snapshot: FleetSnapshot) -> None:
        """Write a view durably; a disk that fails is only logged."""
        loop = asyncio.get_running_loop()
        data = encode_record(encode(snapshot))
        try:
            await loop.run_in_executor(None, replace_file_durably, self.path, data)
        except OSError as error:
            self.log.warning("view_not_written", detail=str(error))
