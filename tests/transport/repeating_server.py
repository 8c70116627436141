"""A server that answers a connection's later requests with its first answer."""

from __future__ import annotations

import asyncio

HOST = "127.0.0.1"


def make_answer(status: int, body: bytes) -> bytes:
    """Return the bytes of an HTTP answer."""
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class RepeatingServer:
    """Writes a connection's first answer once more where the next one is due.

    Args:
        answers: Answer to each path, without its query.
    """

    def __init__(self, answers: dict[str, bytes]) -> None:
        self.answers = answers
        self.paths: list[str] = []
        """Paths of the requests that were read."""

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
        """Answer the requests of one connection."""
        answer = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                await reader.readexactly(length)
                path = head.split()[1].decode().partition("?")[0]
                self.paths.append(path)
                answer = answer or self.answers[path]
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
