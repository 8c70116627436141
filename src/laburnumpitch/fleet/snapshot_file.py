"""Saves a node's view of the fleet to disk, to serve at once after a restart."""

from __future__ import annotations

import asyncio
from pathlib import Path

from msgspec.structs import replace

from ..control.log_store import decode_record, encode_record, replace_file_durably
from ..errors import CodecError
from ..logging import get_logger
from ..transport.codec import decode, encode
from .fleet_view import FleetView
from .messages import FleetSnapshot

FILE_NAME = "view"
"""File in the data folder that holds the view."""

MIN_WRITE_INTERVAL_S = 0.5
"""Minimum pause after a write; changes within it go into the next write."""


class SnapshotFile:
    """Writes the view when it changes, and loads it at the start.

    Args:
        folder: Data folder.
        fleet_view: This node's view of the fleet.
    """

    def __init__(self, folder: Path, fleet_view: FleetView) -> None:
        self.path = folder / FILE_NAME
        self.fleet_view = fleet_view
        self.change_event = asyncio.Event()
        self.log = get_logger()
        fleet_view.on_change.append(self.change_event.set)

    def load(self) -> None:
        """Apply the view that was written last, if the file is complete."""
        try:
            body = decode_record(self.path.read_bytes(), 0)
            snapshot = decode(body) if body is not None else None
        except (OSError, CodecError) as error:
            self.log.info("view_not_read", detail=str(error))
            return
        if isinstance(snapshot, FleetSnapshot):
            self.fleet_view.apply_snapshot(snapshot)

    async def run(self) -> None:
        """Write the view whenever it has changed, until cancelled."""
        written = None
        while True:
            await self.change_event.wait()
            self.change_event.clear()
            snapshot = self.fleet_view.make_snapshot()
            if snapshot is not None:
                # The ages alone, which grow all the time, are no reason to write.
                facts = replace(snapshot.facts, weight_ages={})
                state = replace(snapshot, facts=facts)
                if state != written:
                    if await self.write(snapshot):
                        written = state
                    else:
                        self.change_event.set()
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)

    async def write(self, snapshot: FleetSnapshot) -> bool:
        """Write a view durably; return whether the disk took it."""
        loop = asyncio.get_running_loop()
        data = encode_record(encode(snapshot))
        try:
            await loop.run_in_executor(None, replace_file_durably, self.path, data)
        except OSError as error:
            self.log.warning("view_not_written", detail=str(error))
            return False
        return True
