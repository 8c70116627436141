"""HTTP client of an engine, which streams tokens as newline-delimited JSON."""

from __future__ import annotations

import time
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
"""Maximum length of one line of a stream."""

TOKEN_GAP_TIMEOUT_S = 5.0
"""Maximum time between two tokens of a stream."""

EXPORT_TIMEOUT_S = 60.0
"""Time for an export; long enough for a slow link."""

EVENT_LONG_POLL_S = 1.0
"""Time for which the engine delays its answer to a poll while it has no new events."""


class HttpEngine:
    """Client of one engine.

    Args:
        client: HTTP client for the engine's address.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def generate(
        self, request: GenerateRequest, first_token_timeout_s: float
    ) -> AsyncIterator[TokenChunk | RunEnd]:
        """Run a prompt and yield its tokens, then the end marker.

        Raises:
            TargetRefusedError: If the engine refused the request before acting on it.
            MalformedAnswerError: If the stream is malformed or belongs to another
                request.
            TargetError: If the stream ends without its end marker, or the engine
                answers with an error.
        """
        answer = await self.client.request(
            "POST",
            "/v1/generate",
            JSON_HEADERS,
            msgspec.json.encode(request),
            first_byte_timeout_s=first_token_timeout_s,
            gap_timeout_s=TOKEN_GAP_TIMEOUT_S,
            total_timeout_s=first_token_timeout_s,
            # On a kept connection an earlier refusal may come once more.
            max_idle_s=0.0,
        )
        try:
            if answer.status != 200:
                await self.raise_for_status(answer)
            async for line in iterate_lines(answer):
                item = self.decode_line(line)
                if item.id != request.request_id:
                    raise MalformedAnswerError(
                        f"the stream belongs to another request: {item.id}"
                    )
                yield item
                if isinstance(item, RunEnd):
                    await self.read_body_end(answer)
                    return
                if item.count:
                    answer.deadline_s = time.monotonic() + TOKEN_GAP_TIMEOUT_S
            raise TargetError("the stream ended without its end marker")
        finally:
            answer.close()

    async def raise_for_status(self, answer: HttpAnswer) -> None:
        """Raise the error for an answer whose status is not 200.

        Raises:
            TargetRefusedError: If the engine refused the request before acting on it.
            TargetError: For any other status.
        """
        await answer.read()
        if answer.status in (409, 429, 503):
            raise TargetRefusedError(
                f"the engine answered with status {answer.status}", sent=False
            )
        raise TargetError(f"the engine answered with status {answer.status}")

    async def read_body_end(self, answer: HttpAnswer) -> None:
        """Read the end of the body, so that the connection can be reused.

        After the end marker the answer is complete; a failure here, or further data,
        only loses the connection.
        """
        try:
            async for _ in answer.iterate_body():
                return
        except TargetError:
            return

    def decode_line(self, line: bytes) -> TokenChunk | RunEnd:
        """Decode one line of the stream: some tokens or the end marker."""
        if b'"tokens"' in line:
            return decode_answer(line, RunEnd)
        return decode_answer(line, TokenChunk)

    async def cancel(self, request_id: str) -> None:
        """Stop a run."""
        await call_json(self.client, "POST", "/v1/cancel", {"request_id": request_id})

    async def get_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number.

        Long poll: while there are none, the engine waits before it answers.
        """
        path = f"/v1/events?after={after}&wait_s={EVENT_LONG_POLL_S}"
        return decode_answer(await call_json(self.client, "GET", path), CacheEvents)

    async def get_snapshot(self) -> CacheSnapshot:
        """Return all pieces in the engine's cache."""
        content = await call_json(self.client, "GET", "/v1/cache")
        return decode_answer(content, CacheSnapshot)

    async def export_piece(
        self, piece: str, store_address: str, generation: int
    ) -> ExportedBlock:
        """Have the engine write a piece to a store."""
        body = {"piece": piece, "store": store_address, "generation": generation}
        content = await call_json(
            self.client, "POST", "/v1/kv/export", body, EXPORT_TIMEOUT_S
        )
        return decode_answer(content, ExportedBlock)

    async def load_weights(
        self, version: str, fence: Fence, before_write: Callable[[], None]
    ) -> None:
        """Order the engine to load and serve another weight version."""
        body = {"action": "load_weights", "version": version, "fence": fence}
        await call_json(
            self.client, "POST", "/v1/orders", body, before_write=before_write
        )

    async def get_state(self) -> EngineState:
        """Return the weight version that the engine serves and its fence."""
        content = await call_json(self.client, "GET", "/v1/state")
        return decode_answer(content, EngineState)


async def iterate_lines(answer: HttpAnswer) -> AsyncIterator[bytes]:
    """Yield the non-empty lines of a body.

    Raises:
        MalformedAnswerError: If a line is longer than `MAX_LINE_BYTES`.
    """
    buffer = b""
    async for chunk in answer.iterate_body():
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            if line:
                yield line
        if len(buffer) > MAX_LINE_BYTES:
            raise MalformedAnswerError("a line of the stream is too long")
