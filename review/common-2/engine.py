"""A stand-in engine, which follows the pages of the platform.

Its argument is a JSON object of options; commands come as JSON lines on its standard
input: `mute` with `seconds` (nothing that it sends reaches `control`), `depart` (it
sends DELETE, goes on to serve for `seconds` after the acknowledgement, and exits).
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from lab import call, now_s  # noqa: E402

JSON_TYPE = {"Content-Type": "application/json"}
QUEUE_SHARE = 4
"""Requests that it queues, for each slot."""


class StandInEngine:
    """One incarnation of an engine.

    Args:
        options: `instance_id`, `address`, `zone`, `service`, `controls`, `record`,
            `heartbeat_ms`, `slots`, `work_ms` (least and largest), `deadly` (a path
            that crashes it, empty for none).
    """

    def __init__(self, options: dict) -> None:
        self.options = options
        self.id = options["instance_id"]
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.muted_until_s = 0.0
        self.heartbeat_address = ""
        self.is_gone = False
        self.waiting = 0
        self.slots = asyncio.Semaphore(options.get("slots", 6))
        self.record = open(options["record"], "a", buffering=1)

    def write(self, event: str, **fields) -> None:
        """Append an event to the record."""
        line = {"t": round(now_s(), 4), "event": event, "engine": self.id, **fields}
        self.record.write(json.dumps(line) + "\n")

    async def run(self) -> None:
        """Serve until the process ends."""
        host, _, port = self.options["address"].rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        self.write("engine_started", service=self.options["service"])
        async with server:
            await asyncio.gather(self.run_heartbeats(), self.run_commands())

    async def run_heartbeats(self) -> None:
        """Send heartbeats until the engine has departed."""
        period_s = self.options["heartbeat_ms"] / 1000
        while not self.is_gone:
            self.sequence += 1
            body = {
                "service": self.options["service"],
                "address": self.options["address"],
                "zone": self.options["zone"],
                "version": "v1",
                "slots": self.options.get("slots", 6),
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
                **self.options.get("beat", {}),
            }
            await self.call_control("PUT", json.dumps(body).encode())
            await asyncio.sleep(period_s * random.uniform(0.9, 1.1))

    async def call_control(self, method: str, body: bytes) -> bool:
        """Call one node after the other until one acknowledges."""
        controls = random.sample(
            self.options["controls"], len(self.options["controls"])
        )
        if self.heartbeat_address:
            controls.insert(0, self.heartbeat_address)
        for address in controls:
            if now_s() < self.muted_until_s:
                return False
            try:
                status, _, content = await call(
                    address, method, f"/-/instances/{self.id}", JSON_TYPE, body, 1.0
                )
            except (OSError, TimeoutError):
                status = 0
            if 200 <= status < 300:
                if method == "DELETE":
                    self.write("departure_acknowledged", address=address)
                answer = json.loads(content or b"{}")
                self.heartbeat_address = answer.get("heartbeat_url", "")
                return True
            self.heartbeat_address = ""
        return False

    async def run_commands(self) -> None:
        """Obey the commands on the standard input."""
        loop = asyncio.get_running_loop()
        while True:
            line = await loop.run_in_executor(None, sys.stdin.readline)
            if not line:
                return
            command = json.loads(line)
            if "mute" in command:
                self.muted_until_s = now_s() + command["mute"]
                self.write("cut_from_control", seconds=command["mute"])
            if "depart" in command:
                asyncio.create_task(self.depart(command["depart"]))

    async def depart(self, seconds: float) -> None:
        """Deregister, serve for a while, and exit."""
        self.is_gone = True
        while not await self.call_control("DELETE", b""):
            await asyncio.sleep(0.1)
        await asyncio.sleep(seconds)
        self.write("engine_exits")
        os._exit(0)

    async def serve(self, reader, writer) -> None:
        """Serve the requests of one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, path, _ = first.split(" ")
                pairs = (line.split(":", 1) for line in lines if ":" in line)
                headers = {n.strip().lower(): v.strip() for n, v in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.answer(writer, method, path, headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, path, headers, body) -> None:
        """Answer one request."""
        attempt = headers.get("attempt-id", "")
        self.write("arrived", id=attempt, method=method, path=path)
        if headers.get("expect-instance", self.id) != self.id:
            self.send(writer, 421, attempt, {"Not-Executed": "1"}, b"")
            return
        if self.waiting >= self.options.get("slots", 6) * QUEUE_SHARE:
            self.send(writer, 503, attempt, {"Not-Executed": "1"}, b"")
            return
        self.waiting += 1
        try:
            async with self.slots:
                self.write(
                    "run",
                    id=attempt,
                    method=method,
                    path=path,
                    tenant=headers.get("tenant", ""),
                    key="authorization" in headers,
                )
                deadly = self.options.get("deadly", "")
                if deadly and deadly in path:
                    self.write("crashed", id=attempt)
                    os._exit(1)
                low, high = self.options.get("work_ms", (40, 90))
                await asyncio.sleep(random.uniform(low, high) / 1000)
        finally:
            self.waiting -= 1
        seal = f"{self.id}.{random.getrandbits(32):08x}"
        self.write("ended", id=attempt, seal=seal)
        self.send(writer, 200, attempt, {"Server-Seal": seal}, attempt.encode())

    def send(self, writer, status, attempt, headers, body) -> None:
        """Write an answer."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"Attempt-Id: {attempt}",
            f"Instance-Id: {self.id}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


if __name__ == "__main__":
    asyncio.run(StandInEngine(json.loads(sys.argv[1])).run())
