"""Servers whose answers never end, for tests of clients."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

HOST = "127.0.0.1"
PAUSE_S = 0.02
"""Time between two parts of a slow answer."""

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\n\r\n"
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"


@dataclass(frozen=True)
class EndlessAnswer:
    """An answer that goes on until the caller closes the connection."""

    head: bytes
    part: bytes
    """Sent over and over after the head."""
    pause_s: float = 0.0


ENDLESS_ANSWERS = {
    "informational": EndlessAnswer(b"", INFORMATIONAL),
    "slow_informational": EndlessAnswer(b"", INFORMATIONAL, PAUSE_S),
    "header_lines": EndlessAnswer(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "slow_header_line": EndlessAnswer(b"HTTP/1.1 200 OK\r\nx: ", b"y", PAUSE_S),
    "chunks": EndlessAnswer(CHUNKED_HEAD, CHUNK),
    "small_chunks": EndlessAnswer(CHUNKED_HEAD, SMALL_CHUNK),
    "slow_chunks": EndlessAnswer(CHUNKED_HEAD, SMALL_CHUNK, PAUSE_S),
    "unframed_body": EndlessAnswer(UNFRAMED_HEAD, b"x" * 1024),
    "slow_unframed_body": EndlessAnswer(UNFRAMED_HEAD, b"x", PAUSE_S),
    "chunk_extension": EndlessAnswer(CHUNKED_HEAD + b"1;", b"x"),
    "slow_chunk_extension": EndlessAnswer(CHUNKED_HEAD + b"1;", b"x", PAUSE_S),
    "trailers": EndlessAnswer(CHUNKED_HEAD + b"0\r\n", b"x: y\r\n"),
    "slow_trailers": EndlessAnswer(CHUNKED_HEAD + b"0\r\n", b"x: y\r\n", PAUSE_S),
}

SCENARIOS = [(name, {"answer": answer}) for name, answer in ENDLESS_ANSWERS.items()]


async def iterate_parts(
    answer: EndlessAnswer, headers: bytes = b""
) -> AsyncIterator[bytes]:
    """Yield the parts of an answer, without end, with further headers in its head."""
    status, _, rest = answer.head.partition(b"\r\n")
    if status:
        yield status + b"\r\n" + headers + rest
    while True:
        yield answer.part
        await asyncio.sleep(answer.pause_s)


class EndlessServer:
    """Sends an endless answer to each request.

    Args:
        answer: The answer.
    """

    def __init__(self, answer: EndlessAnswer) -> None:
        self.answer = answer
        self.closed = asyncio.Event()
        """Set once a caller has closed its connection."""

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request without end."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            async for part in iterate_parts(self.answer):
                writer.write(part)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.closed.set()
            writer.close()
