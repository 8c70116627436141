"""The clients of a soak, behind a balancer that asks for readiness."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

from laburnumpitch.errors import LaburnumpitchError, TargetError
from laburnumpitch.transport.http_client import HttpClient

from .fleet import SoakFleet
from .operator import (
    HOST,
    ORGANISATIONS,
    ROTATING,
    STEP_ROUTES,
    Operator,
    get_rotating_key,
    get_step_path,
)

PATIENCE_S = 3.0
"""Time for which a client waits."""

LEAVES_SHARE = 0.03
"""Part of the clients that leave early."""

LEAVES_S = 0.05
READY_INTERVAL_S = 0.5
"""Interval of the balancer's questions; two in a row without a 200 take a node out."""

ROUTES = ("order", "read", "moved", "ask", "resumed")
STREAMS = ("ask", "resumed")


@dataclass
class Record:
    """One request of a client and what became of it."""

    attempt: str
    route: str
    organisation: str
    host: str
    process_id: int
    sent_s: float
    step: int
    """Configuration whose own route or key it uses; 0 for none."""
    is_new_connection: bool
    status: int = 0
    """0 without an answer."""
    body: bytes = b""
    seal: str = ""
    ended_s: float = float("inf")
    has_left: bool = False
    is_cut: bool = False
    """Whether the answer broke off, or the connection ended without one."""
    was_connected: bool = False


@dataclass
class Clients:
    """Sends requests to nodes that are ready."""

    fleet: SoakFleet
    operator: Operator
    random: Random
    records: list[Record] = field(default_factory=list)
    misses: dict[str, int] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    kept: dict[str, list[HttpClient]] = field(default_factory=dict)

    async def watch(self) -> None:
        """Ask nodes whether they are ready, until cancelled."""
        while True:
            await asyncio.gather(*(self.check(host) for host in self.fleet.hosts))
            await asyncio.sleep(READY_INTERVAL_S)

    async def check(self, host: str) -> None:
        """Ask one node."""
        client = HttpClient(f"{host}:{self.fleet.ready_port}")
        is_ready = False
        try:
            answer = await client.request(
                "GET", "/-/readyz", [], b"", first_byte_timeout_s=READY_INTERVAL_S
            )
            is_ready = answer.status == 200
            await answer.read()
        except LaburnumpitchError:
            # No answer counts as not ready.
            pass
        finally:
            client.close()
        self.misses[host] = 0 if is_ready else self.misses.get(host, 0) + 1

    def list_ready(self) -> list[str]:
        """Return the nodes in rotation, or all if there is none."""
        ready = [h for h in self.fleet.hosts if self.misses.get(h, 0) < 2]
        return ready or self.fleet.hosts

    async def run(self, per_s: float) -> None:
        """Send requests at random moments until cancelled."""
        while True:
            await asyncio.sleep(self.random.expovariate(per_s))
            task = asyncio.create_task(self.ask())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Wait for the requests under way, and close connections."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        for clients in self.kept.values():
            for client in clients:
                client.close()

    def make_record(self) -> tuple[Record, str, str]:
        """Return a new request's record, path and key."""
        host = self.random.choice(self.list_ready())
        node = self.fleet.nodes[host]
        newest = len(self.operator.changes)
        step = newest - self.random.randrange(STEP_ROUTES + 1)
        is_step = step > 0 and self.random.random() < 0.25
        organisation = self.random.choice(ORGANISATIONS)
        route, path, key = self.random.choice(ROUTES), "", f"key-{organisation}"
        if is_step:
            route, path = "step", get_step_path(step) + "x"
            organisation, key = "north", "key-north"
        elif organisation == ROTATING:
            step = max(1, newest)
            key = get_rotating_key(step)
        else:
            step = 0
        process_id = node.running.pid if node.running else 0
        record = Record(
            f"{self.random.getrandbits(64):016x}",
            route,
            organisation,
            host,
            process_id,
            time.monotonic(),
            step,
            self.random.random() < 0.5,
        )
        return record, path or f"/{route}/x?q={self.random.randrange(9)}", key

    async def ask(self) -> None:
        """Send one request and note what becomes of it."""
        record, path, key = self.make_record()
        self.records.append(record)
        work = asyncio.create_task(self.send(record, path, key))
        leaves = self.random.random() < LEAVES_SHARE
        done, _ = await asyncio.wait({work}, timeout=LEAVES_S if leaves else None)
        if not done:
            record.has_left = True
            work.cancel()
            await asyncio.wait({work})
        record.ended_s = time.monotonic()

    def take_client(self, record: Record) -> HttpClient:
        """Return a new connection's client, or one with a kept connection."""
        kept = self.kept.setdefault(record.host, [])
        if kept and not record.is_new_connection:
            return kept.pop()
        record.is_new_connection = True
        return HttpClient(f"{record.host}:{self.fleet.client_port}")

    async def send(self, record: Record, path: str, key: str) -> None:
        """Send a request and take its answer."""
        client = self.take_client(record)
        shared = f"{self.random.randrange(4):x}:200,{self.random.randrange(40):x}:300"
        headers = [
            ("attempt-id", record.attempt),
            ("authorization", f"Bearer {key}"),
            ("deadline-ms", str(int(PATIENCE_S * 1000))),
            ("tenant", "forged"),
            ("cache-salt", "forged"),
        ]
        if record.route in STREAMS:
            headers += [
                ("model", "m"),
                ("token-usage", "600,40"),
                ("prefix-hash", f"{shared},{record.attempt}:100"),
            ]
        try:
            answer = await client.request(
                "POST",
                path,
                headers,
                record.attempt.encode(),
                first_byte_timeout_s=PATIENCE_S + 2.0,
                host=HOST,
            )
            record.was_connected = True
            record.seal = dict(answer.headers).get("server-seal", "")
            parts = [part async for part in answer.iterate_body()]
            answer.close()
            record.body = b"".join(parts)
            record.status = answer.status
            self.kept[record.host].append(client)
        except TargetError as error:
            record.is_cut = True
            record.was_connected |= error.sent
            client.close()
        except asyncio.CancelledError:
            client.close()
            raise
