"""A stand-in model engine whose streams have many events.

Beside the options of `engine.py`: `events` (of a stream), `event_bytes`, `event_s`
(time between two events). It stops a stream at the deadline that it received.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from engine import StandInEngine  # noqa: E402
from lab import now_s  # noqa: E402


class StreamEngine(StandInEngine):
    """One incarnation of a model engine."""

    async def answer(self, writer, method, path, headers, body) -> None:
        """Answer one request with a stream."""
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            self.send(writer, 421, attempt, {"Not-Executed": "1"}, b"")
            return
        end_s = now_s() + int(headers.get("deadline-ms", 60000)) / 1000
        self.write("run", id=attempt, path=path)
        seal = f"{self.id}.{random.getrandbits(32):08x}"
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {seal}\r\n"
            "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        count = self.options["events"]
        filler = "x" * self.options["event_bytes"]
        next_s = now_s()
        for number in range(1, count + 1):
            if now_s() >= end_s:
                self.write("deadline", id=attempt, events=number - 1)
                raise ConnectionResetError
            event = f"id: {number}\ndata: {filler}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            next_s += self.options["event_s"]
            await asyncio.sleep(max(0.0, next_s - now_s()))
        self.write("ended", id=attempt, seal=seal)
        writer.write(b"0\r\n\r\n")


if __name__ == "__main__":
    asyncio.run(StreamEngine(json.loads(sys.argv[1])).run())
