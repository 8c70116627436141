"""The clients of a soak, with a load balancer that probes the nodes' readiness."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

from laburnumpitch.errors import LaburnumpitchError, TargetError
from laburnumpitch.transport.http_client import HttpAnswer, HttpClient
from laburnumpitch.transport.http_server import Headers

from .fleet import SoakFleet
from .operator import (
    HOST,
    ORGANISATIONS,
    ROTATING_KEY_ORGANISATION,
    VERSIONED_ROUTE_LIFETIME,
    SoakOperator,
    get_idle_timeout_s,
    get_rotating_key,
    get_versioned_path,
    list_versions_in_force,
)
from .request_record import RequestRecord

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

RESUMED_ROUTE = "resumed"
"""Route whose streams go on at another engine on a failure, or when a client takes them
up at another node."""

STREAMING_ROUTES = ("ask", RESUMED_ROUTE)
"""Routes to engines."""

ROUTES = ("order", "read", "moved", *STREAMING_ROUTES)
"""Names of the routes that every configuration has."""

ABORT_SHARE = 0.25
"""Share of the streams that a client aborts after some events to take them up."""

MAX_ABORT_EVENTS = 2
"""Largest number of events after which a client aborts a stream."""

MAX_IDLE_SHARE = 0.8
"""Share of the idle timeout after which a client no longer reuses a connection."""

MAX_TAKE_UPS = 3
"""Maximum number of attempts to take up one stream."""

TAKE_UP_DEADLINE_S = 12.0
"""Time from a stream's first request in which its client takes it up; longer than a
restart of all nodes."""

LONG_PAUSE_SHARE = 0.4
"""Share of the attempts to take a stream up before which the client pauses for long."""

MAX_SHORT_PAUSE_S = 0.2
MAX_LONG_PAUSE_S = 6.0


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

    def make_record(self) -> tuple[RequestRecord, str]:
        """Return a new request's record and path."""
        is_new_connection = self.random.random() < 0.5
        host = self.random.choice(self.list_hosts(is_new_connection))
        newest = len(self.operator.configuration_changes)
        introduced_version = newest - self.random.randrange(
            VERSIONED_ROUTE_LIFETIME + 1
        )
        uses_versioned_route = introduced_version > 0 and self.random.random() < 0.25
        organisation = self.random.choice(ORGANISATIONS)
        route, path = self.random.choice(ROUTES), ""
        if uses_versioned_route:
            route, path = "step", get_versioned_path(introduced_version) + "x"
            organisation = "north"
        else:
            introduced_version = self.get_key_version(organisation)
        record = RequestRecord(
            self.make_attempt_id(),
            route,
            organisation,
            host,
            self.get_process_id(host),
            time.monotonic(),
            introduced_version,
            is_new_connection,
        )
        return record, path or f"/{route}/x?q={self.random.randrange(9)}"

    def make_attempt_id(self) -> str:
        """Return the identifier of a new attempt."""
        return f"{self.random.getrandbits(64):016x}"

    def get_process_id(self, host: str) -> int:
        """Return the process of a node, or 0 before its start."""
        popen = self.fleet.nodes[host].popen
        return popen.pid if popen else 0

    def get_key_version(self, organisation: str) -> int:
        """Return the configuration version that added a key; 0 if all have it."""
        if organisation != ROTATING_KEY_ORGANISATION:
            return 0
        return max(1, len(self.operator.configuration_changes))

    def get_key(self, record: RequestRecord) -> str:
        """Return the API key of a request."""
        if record.organisation == ROTATING_KEY_ORGANISATION:
            return get_rotating_key(record.introduced_version)
        return f"key-{record.organisation}"

    async def run_request(self) -> None:
        """Send one request; take its stream up if it breaks and the route allows it."""
        record, path = self.make_record()
        await self.run_attempt(record, path)
        deadline_s = record.sent_s + TAKE_UP_DEADLINE_S
        for _ in range(MAX_TAKE_UPS):
            is_over = record.status == 200 or not record.last_event
            if is_over or record.route != RESUMED_ROUTE:
                return
            await asyncio.sleep(self.choose_pause_s())
            if time.monotonic() > deadline_s:
                return
            record = self.make_take_up(record)
            await self.run_attempt(record, path)

    def choose_pause_s(self) -> float:
        """Return the time after which a client takes a stream up."""
        is_long = self.random.random() < LONG_PAUSE_SHARE
        max_pause_s = MAX_LONG_PAUSE_S if is_long else MAX_SHORT_PAUSE_S
        return self.random.uniform(0.0, max_pause_s)

    def make_take_up(self, previous: RequestRecord) -> RequestRecord:
        """Return the record of a request that takes a stream up at another node."""
        is_new_connection = self.random.random() < 0.5
        hosts = self.list_hosts(is_new_connection)
        host = self.random.choice([h for h in hosts if h != previous.host] or hosts)
        return RequestRecord(
            self.make_attempt_id(),
            previous.route,
            previous.organisation,
            host,
            self.get_process_id(host),
            time.monotonic(),
            self.get_key_version(previous.organisation),
            is_new_connection,
            begun_by=previous.stream,
            after=previous.last_event,
        )

    async def run_attempt(self, record: RequestRecord, path: str) -> None:
        """Send one request and record its outcome."""
        self.records.append(record)
        request_task = asyncio.create_task(self.send(record, path))
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

    def get_max_idle_s(self) -> float:
        """Return how long a connection may be idle before a client reuses it.

        Each node may still apply any configuration that is in force.
        """
        versions = list_versions_in_force(
            self.operator.configuration_changes, time.monotonic()
        )
        return MAX_IDLE_SHARE * min(map(get_idle_timeout_s, versions))

    def make_headers(self, record: RequestRecord) -> Headers:
        """Return the headers of a request."""
        shared_prefixes = (
            f"{self.random.randrange(4):x}:200,{self.random.randrange(40):x}:300"
        )
        headers = [
            ("attempt-id", record.attempt),
            ("authorization", f"Bearer {self.get_key(record)}"),
            ("deadline-ms", str(int(REQUEST_TIMEOUT_S * 1000))),
            ("tenant", "forged"),
            ("cache-salt", "forged"),
        ]
        if record.route in STREAMING_ROUTES:
            headers += [
                ("model", "m"),
                ("token-usage", "600,40"),
                ("prefix-hash", f"{shared_prefixes},{record.stream}:100"),
            ]
        if record.is_take_up:
            headers += [
                ("resumes", record.begun_by),
                ("last-event-id", str(record.after)),
            ]
        return headers

    async def send(self, record: RequestRecord, path: str) -> None:
        """Send a request and read its answer into its record."""
        client = self.get_client(record)
        try:
            answer = await client.request(
                "POST",
                path,
                self.make_headers(record),
                record.stream.encode(),
                first_byte_timeout_s=REQUEST_TIMEOUT_S + 2.0,
                max_idle_s=self.get_max_idle_s(),
                host=HOST,
            )
            record.was_connected = True
            record.seal = dict(answer.headers).get("server-seal", "")
            await self.read_answer(record, answer)
            if record.has_disconnected:
                client.close()
            else:
                record.status = answer.status
                self.idle_clients[record.host].append(client)
        except TargetError as error:
            record.is_interrupted = True
            record.was_connected |= error.sent
            client.close()
        except asyncio.CancelledError:
            client.close()
            raise

    async def read_answer(self, record: RequestRecord, answer: HttpAnswer) -> None:
        """Read an answer into its record, or abort a stream after some events."""
        abort_after = 0
        if record.route == RESUMED_ROUTE and self.random.random() < ABORT_SHARE:
            abort_after = self.random.randint(1, MAX_ABORT_EVENTS)
        async for part in answer.iterate_body():
            record.body += part
            if abort_after and len(record.event_numbers) >= abort_after:
                record.has_disconnected = True
                break
        answer.close()
