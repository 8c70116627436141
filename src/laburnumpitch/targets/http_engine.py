"""Client of an engine over HTTP with newline-delimited JSON streams."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import msgspec

from ..errors import MalformedAnswerError, TargetError, TargetRefusedError
from ..transport.http_client import HttpAnswer, HttpClient
from .json_call import JSON_HEADERS, call_json, decode_answer
from .protocols import (
    CacheEvents,
    CacheSnapshot,
    EngineState,
    ExportedBlock,
    Fence,
    GenerateRequest,
    RunEnd,
    TokenChunk,
)

MAX_LINE_BYTES = 1024 * 1024
"""Bound on one line of a stream."""

TOKEN_GAP_TIMEOUT_S = 5.0
"""Longest silence between two tokens."""

EXPORT_TIMEOUT_S = 60.0
"""Time for an export over a slow link."""

EVENT_LONG_POLL_S = 1.0
"""Time for which the engine holds a call for events while there are none."""


class HttpEngine:
    """An engine.

    Args:
        client: Client of the engine's address.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def generate(
        self, request: GenerateRequest, first_token_timeout_s: float
    ) -> AsyncIterator[TokenChunk | RunEnd]:
        """Run a prompt and yield its tokens, then the end marker.

        Raises:
            TargetRefusedError: If the engine refused before it acted.
            MalformedAnswerError: If the stream is not this request's.
            TargetError: If the stream breaks before the end marker.
        """
        answer = await self.client.request(
            "POST",
            "/v1/generate",
            JSON_HEADERS,
            msgspec.json.encode(request),
            first_byte_timeout_s=first_token_timeout_s,
            gap_timeout_s=TOKEN_GAP_TIMEOUT_S,
        )
        try:
            if answer.status != 200:
                await self.raise_for_status(answer)
            async for line in iterate_lines(answer):
                item = self.decode_line(line)
                if item.id != request.request_id:
                    raise MalformedAnswerError(f"answer of another request: {item.id}")
                yield item
                if isinstance(item, RunEnd):
                    await self.read_to_end(answer)
                    return
            raise TargetError("the stream ended without its end marker")
        finally:
            answer.close()

    async def raise_for_status(self, answer: HttpAnswer) -> None:
        """Raise the failure that a status stands for."""
        await answer.read()
        if answer.status in (409, 429, 503):
            raise TargetRefusedError(f"engine status {answer.status}", sent=False)
        raise TargetError(f"engine status {answer.status}")

    async def read_to_end(self, answer: HttpAnswer) -> None:
        """Read the end of the body, so that the connection can be kept.

        The end marker made the answer whole; what fails now only costs the
        connection.
        """
        try:
            async for _ in answer.iterate():
                return
        except TargetError:
            return

    def decode_line(self, line: bytes) -> TokenChunk | RunEnd:
        """Read one line of the stream."""
        if b'"tokens"' in line:
            return decode_answer(line, RunEnd)
        return decode_answer(line, TokenChunk)

    async def cancel(self, request_id: str) -> None:
        """Stop a run."""
        await call_json(self.client, "POST", "/v1/cancel", {"request_id": request_id})

    async def get_events(self, after: int) -> CacheEvents:
        """Return cache events after a sequence number, waiting for some."""
        path = f"/v1/events?after={after}&wait_s={EVENT_LONG_POLL_S}"
        return decode_answer(await call_json(self.client, "GET", path), CacheEvents)

    async def get_snapshot(self) -> CacheSnapshot:
        """Return all cached pieces."""
        content = await call_json(self.client, "GET", "/v1/cache")
        return decode_answer(content, CacheSnapshot)

    async def export_piece(
        self, piece: str, store_address: str, generation: int
    ) -> ExportedBlock:
        """Write a piece to a store."""
        body = {"piece": piece, "store": store_address, "generation": generation}
        content = await call_json(
            self.client, "POST", "/v1/kv/export", body, EXPORT_TIMEOUT_S
        )
        return decode_answer(content, ExportedBlock)

    async def load_weights(
        self, version: str, fence: Fence, before_write: Callable[[], None]
    ) -> None:
        """Order the engine to serve another weight version."""
        body = {"action": "load_weights", "version": version, "fence": fence}
        await call_json(
            self.client, "POST", "/v1/orders", body, before_write=before_write
        )

    async def get_state(self) -> EngineState:
        """Return what the engine serves."""
        content = await call_json(self.client, "GET", "/v1/state")
        return decode_answer(content, EngineState)


async def iterate_lines(answer: HttpAnswer) -> AsyncIterator[bytes]:
    """Yield the lines of a body.

    Raises:
        MalformedAnswerError: If a line is over its bound.
    """
    buffer = b""
    async for chunk in answer.iterate():
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            if line:
                yield line
        if len(buffer) > MAX_LINE_BYTES:
            raise MalformedAnswerError("a line is too long")
