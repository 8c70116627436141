"""The clients of a soak, with a load balancer that probes the nodes' readiness."""

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
    ROTATING_KEY_ORGANISATION,
    VERSIONED_ROUTE_LIFETIME,
    SoakOperator,
    get_rotating_key,
    get_versioned_path,
)

REQUEST_TIMEOUT_S = 3.0
"""Deadline that a client sends with a request."""

DISCONNECT_SHARE = 0.03
"""Share of the requests whose client disconnects before the answer is complete."""

DISCONNECT_AFTER_S = 0.05
"""Time from the request to an early disconnect."""

PROBE_INTERVAL_S = 0.5
"""Interval of readiness probes.

Two probes in a row without a 200 take a node out of rotation.
"""

ROUTES = ("order", "read", "moved", "ask", "resumed")
"""Names of the routes that every configuration has."""

STREAMING_ROUTES = ("ask", "resumed")
"""Routes to engines; streams of `resumed` continue at another engine on a failure."""


@dataclass
class RequestRecord:
    """One request of a client and its outcome."""

    attempt: str
    """Unique identifier, which targets record with each arrival."""
    route: str
    organisation: str
    host: str
    process_id: int
    """Process of the node when the request was sent."""
    sent_s: float
    introduced_version: int
    """Configuration version that added the route or key it uses; 0 for neither."""
    is_new_connection: bool
    status: int = 0
    """HTTP status; 0 without an answer."""
    body: bytes = b""
    seal: str = ""
    """Value of the answer's `server-seal` header, unique to a run at a target."""
    ended_s: float = float("inf")
    has_disconnected: bool = False
    is_interrupted: bool = False
    """Whether the connection ended before a complete answer."""
    was_connected: bool = False
    """Whether the request was sent on an open connection."""


@dataclass
class SoakClients:
    """Sends random requests to the nodes in rotation and records their outcome."""

    fleet: SoakFleet
    operator: SoakOperator
    random: Random
    records: list[RequestRecord] = field(default_factory=list)
    failed_probes: dict[str, int] = field(default_factory=dict)
    """Number of failed probes in a row, by node."""
    tasks: set[asyncio.Task] = field(default_factory=set)
    idle_clients: dict[str, list[HttpClient]] = field(default_factory=dict)
    """Clients with an idle connection, by node."""

    async def probe_nodes(self) -> None:
        """Probe the readiness of all nodes periodically, until cancelled."""
        while True:
            await asyncio.gather(*(self.probe_node(host) for host in self.fleet.hosts))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def probe_node(self, host: str) -> None:
        """Probe one node and count its failed probes in a row."""
        client = HttpClient(f"{host}:{self.fleet.ready_port}")
        is_ready = False
        try:
            answer = await client.request(
                "GET", "/-/readyz", [], b"", first_byte_timeout_s=PROBE_INTERVAL_S
            )
            is_ready = answer.status == 200
            await answer.read()
        except LaburnumpitchError:
            # A node without an answer counts as not ready.
            pass
        finally:
            client.close()
        self.failed_probes[host] = (
            0 if is_ready else self.failed_probes.get(host, 0) + 1
        )

    def list_ready_hosts(self) -> list[str]:
        """Return the nodes in rotation, or all nodes if there are none."""
        ready = [h for h in self.fleet.hosts if self.failed_probes.get(h, 0) < 2]
        return ready or self.fleet.hosts

    def list_hosts(self, is_new_connection: bool) -> list[str]:
        """Return the nodes that a request may go to.

        A client uses an open connection until its node's process is gone, also after
        the node has left the rotation.
        """
        ready_hosts = self.list_ready_hosts()
        if is_new_connection:
            return ready_hosts
        connected_hosts = [
            host
            for host, clients in self.idle_clients.items()
            if clients and host in self.fleet.nodes
        ]
        return connected_hosts or ready_hosts

    async def run(self, requests_per_s: float) -> None:
        """Send requests at random intervals until cancelled."""
        while True:
            await asyncio.sleep(self.random.expovariate(requests_per_s))
            task = asyncio.create_task(self.run_request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Wait for the requests in flight and close idle connections."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        for clients in self.idle_clients.values():
            for client in clients:
                client.close()

    def make_record(self) -> tuple[RequestRecord, str, str]:
        """Return a new request's record, path and API key."""
        is_new_connection = self.random.random() < 0.5
        host = self.random.choice(self.list_hosts(is_new_connection))
        node = self.fleet.nodes[host]
        newest = len(self.operator.configuration_changes)
        introduced_version = newest - self.random.randrange(
            VERSIONED_ROUTE_LIFETIME + 1
        )
        uses_versioned_route = introduced_version > 0 and self.random.random() < 0.25
        organisation = self.random.choice(ORGANISATIONS)
        route, path, key = self.random.choice(ROUTES), "", f"key-{organisation}"
        if uses_versioned_route:
            route, path = "step", get_versioned_path(introduced_version) + "x"
            organisation, key = "north", "key-north"
        elif organisation == ROTATING_KEY_ORGANISATION:
            introduced_version = max(1, newest)
            key = get_rotating_key(introduced_version)
        else:
            introduced_version = 0
        process_id = node.popen.pid if node.popen else 0
        record = RequestRecord(
            f"{self.random.getrandbits(64):016x}",
            route,
            organisation,
            host,
            process_id,
            time.monotonic(),
            introduced_version,
            is_new_connection,
        )
        return record, path or f"/{route}/x?q={self.random.randrange(9)}", key

    async def run_request(self) -> None:
        """Send one request and record its outcome."""
        record, path, key = self.make_record()
        self.records.append(record)
        request_task = asyncio.create_task(self.send(record, path, key))
        disconnects = self.random.random() < DISCONNECT_SHARE
        done, _ = await asyncio.wait(
            {request_task}, timeout=DISCONNECT_AFTER_S if disconnects else None
        )
        if not done:
            record.has_disconnected = True
            request_task.cancel()
            await asyncio.wait({request_task})
        record.ended_s = time.monotonic()

    def get_client(self, record: RequestRecord) -> HttpClient:
        """Return a client with an idle connection, or a new client."""
        idle_clients = self.idle_clients.setdefault(record.host, [])
        if idle_clients and not record.is_new_connection:
            return idle_clients.pop()
        record.is_new_connection = True
        return HttpClient(f"{record.host}:{self.fleet.client_port}")

    async def send(self, record: RequestRecord, path: str, key: str) -> None:
        """Send a request and read its answer into its record."""
        client = self.get_client(record)
        shared_prefixes = (
            f"{self.random.randrange(4):x}:200,{self.random.randrange(40):x}:300"
        )
        headers = [
            ("attempt-id", record.attempt),
            ("authorization", f"Bearer {key}"),
            ("deadline-ms", str(int(REQUEST_TIMEOUT_S * 1000))),
            ("tenant", "forged"),
            ("cache-salt", "forged"),
        ]
        if record.route in STREAMING_ROUTES:
            headers += [
                ("model", "m"),
                ("token-usage", "600,40"),
                ("prefix-hash", f"{shared_prefixes},{record.attempt}:100"),
            ]
        try:
            answer = await client.request(
                "POST",
                path,
                headers,
                record.attempt.encode(),
                first_byte_timeout_s=REQUEST_TIMEOUT_S + 2.0,
                host=HOST,
            )
            record.was_connected = True
            record.seal = dict(answer.headers).get("server-seal", "")
            parts = [part async for part in answer.iterate_body()]
            answer.close()
            record.body = b"".join(parts)
            record.status = answer.status
            self.idle_clients[record.host].append(client)
        except TargetError as error:
            record.is_interrupted = True
            record.was_connected |= error.sent
            client.close()
        except asyncio.CancelledError:
            client.close()
            raise
