"""HTTP client of a KV store."""

from __future__ import annotations

from ..errors import TargetRefusedError
from ..transport.http_client import HttpClient
from .json_call import call_json, decode_answer
from .protocols import StoreListing

MOVE_TIMEOUT_S = 30.0
"""Time to move a block between memory and disk."""


class HttpStore:
    """Client of one KV store.

    Args:
        client: HTTP client for the store's address.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def commit(
        self, piece: str, generation: int, length: int, checksum: str
    ) -> bool:
        """Commit a written block if it is complete; return whether it was."""
        body = {"generation": generation, "length": length, "checksum": checksum}
        try:
            await call_json(self.client, "POST", f"/v1/blocks/{piece}/commit", body)
        except TargetRefusedError:
            return False
        return True

    async def free(self, piece: str, generation: int) -> None:
        """Free a block; do nothing if the store no longer has it."""
        path = f"/v1/blocks/{piece}?generation={generation}"
        try:
            await call_json(self.client, "DELETE", path)
        except TargetRefusedError:
            pass

    async def move(self, piece: str, generation: int, tier: str) -> bool:
        """Move a block between memory and disk; return whether it moved."""
        body = {"generation": generation, "tier": tier}
        path = f"/v1/blocks/{piece}/move"
        try:
            await call_json(self.client, "POST", path, body, MOVE_TIMEOUT_S)
        except TargetRefusedError:
            return False
        return True

    async def get_listing(self) -> StoreListing:
        """Return all blocks, committed or being written."""
        content = await call_json(self.client, "GET", "/v1/blocks")
        return decode_answer(content, StoreListing)
