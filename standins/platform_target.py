"""A target that speaks the users' platform's protocol, and keeps a journal.

One object is one target over all its incarnations. It listens on loopback and
announces the address of a link in front of it, so that the link can harm its traffic.
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.transport.http_client import HttpClient
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

HOST = "127.0.0.1"
HEARTBEAT_INTERVAL_S = 0.4
"""Interval of announcements."""

HEARTBEAT_TIMEOUT_S = 1.0
"""Time for an acknowledgement."""

REQUEST_DURATION_S = 0.03
"""Usual time of a plain request."""

EVENT_INTERVAL_S = 0.01
"""Usual time between two events of a stream."""

WEIGHT_LOAD_S = 0.3
"""Time of a load of weights."""

EVENT_COUNT_LIMIT = 12
MODEL = "m"

_incarnation_numbers: Iterator[int] = itertools.count(1)


def get_event_count(attempt: str) -> int:
    """Return the events of a request's stream, the same at every target."""
    return 3 + hashlib.blake2b(attempt.encode()).digest()[0] % (EVENT_COUNT_LIMIT - 3)


def make_event(attempt: str, number: int) -> str:
    """Return an event of a stream."""
    return f"id: {number}\ndata: {attempt} {number}/{get_event_count(attempt)}\n\n"


@dataclass(frozen=True)
class Arrival:
    """A request that reached a target."""

    at_s: float
    target_id: str
    service: str
    attempt: str
    path: str
    organisation: str
    has_run: bool
    seal: str
    version: int
    """Weight version that it began on; 0 without weights."""
    drain_acknowledged_s: float
    """When the target's leaving was acknowledged; infinite before that."""


@dataclass(frozen=True)
class Order:
    """An order to load weights that reached an engine."""

    at_s: float
    target_id: str
    holder: str
    token: int


@dataclass
class Journal:
    """What all targets of a run have seen."""

    arrivals: list[Arrival] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    context_violations: list[str] = field(default_factory=list)
    """Uses of kept context under other weights or across a wall."""


class PlatformTarget:
    """One target.

    Args:
        name: Its name in the run.
        service: The service that it belongs to.
        has_weights: Whether it is a model engine.
        list_controls: Returns the control addresses of nodes.
        journal: Where it notes what it sees.
        isolated: Organisations that share no kept context.
        seed: Seed of its choices.
    """

    def __init__(
        self,
        name: str,
        service: str,
        has_weights: bool,
        list_controls: Callable[[], list[str]],
        journal: Journal,
        isolated_organisations: frozenset[str],
        seed: int,
    ) -> None:
        self.name = name
        self.service = service
        self.has_weights = has_weights
        self.list_controls = list_controls
        self.journal = journal
        self.isolated_organisations = isolated_organisations
        self.random = random.Random(seed)
        self.address = ""
        """Address that it announces."""
        self.slots = 16
        self.is_full = False
        """Whether it says that it is full, whatever it has."""
        self.failure_share = 0.0
        """Part of the answers that are failures of the target's own."""
        self.version = 1
        self.is_running = False
        self.tasks: set[asyncio.Task] = set()
        self.server: HttpServer | None = None
        self.port = 0

    async def start(self) -> None:
        """Begin a new incarnation."""
        self.target_id = f"i-{self.name}-{next(_incarnation_numbers)}"
        self.started_at_ms = int(time.time() * 1000)
        self.heartbeat_sequence = 0
        self.order_count = 0
        self.running_requests = 0
        self.is_loading = False
        self.is_draining = False
        self.drain_acknowledged_s = float("inf")
        self.kept_contexts: dict[tuple[str, str], tuple[int, str]] = {}
        self.heartbeat_address = ""
        self.server = HttpServer(HOST, self.port, self.handle)
        await self.server.start()
        self.port = self.server.port
        self.is_running = True
        self.spawn(self.run_heartbeats())

    def spawn(self, work) -> None:
        """Run work until the target dies."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def crash(self) -> None:
        """End at once, breaking every connection."""
        self.is_running = False
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            await self.server.close()
            self.server = None

    async def leave(self, drain_s: float) -> None:
        """Say that it leaves, go on for a while, and end."""
        self.is_draining = True
        await self.send_heartbeat()
        await asyncio.sleep(drain_s + 0.5)
        await self.call_node("DELETE", b"")
        await self.crash()

    # Announcements.

    async def run_heartbeats(self) -> None:
        """Announce this target until it dies."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * self.random.uniform(0.8, 1.2))

    async def send_heartbeat(self) -> None:
        """Announce once, at other nodes until one acknowledges."""
        self.heartbeat_sequence += 1
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "dc",
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "models": models if self.has_weights else [],
            "sequence": self.heartbeat_sequence,
            "born": self.started_at_ms,
        }
        was_draining = self.is_draining
        if await self.call_node("PUT", json.dumps(body).encode()) and was_draining:
            self.drain_acknowledged_s = min(self.drain_acknowledged_s, time.monotonic())

    async def call_node(self, method: str, body: bytes) -> bool:
        """Tell a node of this target; return whether one acknowledged."""
        controls = self.list_controls()
        self.random.shuffle(controls)
        if self.heartbeat_address:
            controls.insert(0, self.heartbeat_address)
        for address in controls[:4]:
            client = HttpClient(address)
            try:
                answer = await client.request(
                    method,
                    f"/-/instances/{self.target_id}",
                    [("content-type", "application/json")],
                    body,
                    first_byte_timeout_s=HEARTBEAT_TIMEOUT_S,
                    connect_timeout_s=HEARTBEAT_TIMEOUT_S,
                )
                content = await answer.read()
                if answer.status == 200:
                    self.heartbeat_address = json.loads(content).get(
                        "heartbeat_url", ""
                    )
                    return True
            except LaburnumpitchError:
                # The next node is asked, as the platform's targets do.
                pass
            finally:
                client.close()
            self.heartbeat_address = ""
        return False

    # Requests.

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        expected = request.get_header("expect-instance")
        if expected and expected != self.target_id:
            await self.reject(request, responder, 421)
        elif request.path == "/-/report":
            await self.send_report(responder)
        elif request.path == "/-/order":
            await self.handle_order(request, responder)
        else:
            await self.execute(request, responder)

    async def reject(
        self, request: HttpRequest, responder: Responder, status: int
    ) -> None:
        """Answer that a request was not run."""
        self.record_arrival(request, False, "")
        headers = [
            ("attempt-id", request.get_header("attempt-id")),
            ("not-executed", "1"),
            ("instance-id", self.target_id),
            ("weight-versions", str(self.version)),
        ]
        await responder.send(status, headers, b"not run")

    def record_arrival(self, request: HttpRequest, has_run: bool, seal: str) -> None:
        """Note a request in the journal."""
        arrival = Arrival(
            time.monotonic(),
            self.target_id,
            self.service,
            request.get_header("attempt-id"),
            request.path,
            request.get_header("tenant"),
            has_run,
            seal,
            self.version if self.has_weights else 0,
            self.drain_acknowledged_s,
        )
        self.journal.arrivals.append(arrival)

    async def execute(self, request: HttpRequest, responder: Responder) -> None:
        """Run a request."""
        expected = request.get_header("expect-version")
        if self.has_weights and expected and int(expected) != self.version:
            await self.reject(request, responder, 421)
            return
        if self.is_full or self.running_requests >= self.slots or self.is_loading:
            await self.reject(request, responder, 503)
            return
        attempt = request.get_header("attempt-id")
        seal = f"{self.target_id}.{self.random.getrandbits(48):x}"
        self.record_arrival(request, True, seal)
        self.record_context_use(request)
        headers = [("attempt-id", attempt), ("server-seal", seal)]
        if self.has_weights:
            headers.append(("weight-versions", str(self.version)))
        self.running_requests += 1
        try:
            if self.random.random() < self.failure_share:
                await responder.send(500, headers, b"failed")
            elif self.has_weights:
                await self.stream_events(request, responder, headers)
            else:
                await asyncio.sleep(REQUEST_DURATION_S * self.random.uniform(0.5, 2.0))
                body = {"attempt": attempt, "service": self.service}
                await responder.send(200, headers, json.dumps(body).encode())
        finally:
            self.running_requests -= 1

    async def stream_events(
        self, request: HttpRequest, responder: Responder, headers
    ) -> None:
        """Send the events of a stream, from the one after the last known on."""
        attempt = request.get_header("attempt-id")
        first = int(request.get_header("last-event-id") or 0) + 1
        await responder.start(200, [*headers, ("content-type", "text/event-stream")])
        for number in range(first, get_event_count(attempt) + 1):
            await asyncio.sleep(EVENT_INTERVAL_S * self.random.uniform(0.5, 2.0))
            await responder.write(make_event(attempt, number).encode())
        await responder.finish()

    def record_context_use(self, request: HttpRequest) -> None:
        """Keep the request's context, and note uses of what it may not use."""
        cache_salt = request.get_header("cache-salt")
        organisation = request.get_header("tenant")
        for prefix in filter(None, request.get_header("prefix-hash").split(",")):
            origin = self.kept_contexts.setdefault(
                (cache_salt, prefix), (self.version, organisation)
            )
            isolated_users = {origin[1], organisation} & self.isolated_organisations
            crosses_isolation = origin[1] != organisation and bool(isolated_users)
            if origin[0] != self.version or crosses_isolation:
                use = (self.version, organisation)
                self.journal.context_violations.append(
                    f"{prefix}: made {origin}, used {use}"
                )

    # Orders.

    async def send_report(self, responder: Responder) -> None:
        """Tell this target's state."""
        report = {
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": self.is_loading,
            "sequence": self.order_count,
        }
        await responder.send(200, [], json.dumps(report).encode())

    async def handle_order(self, request: HttpRequest, responder: Responder) -> None:
        """Take an order to load weights."""
        order = msgspec.json.decode(request.body)
        holder, token = order["holder"], order["fencing_token"]
        self.journal.orders.append(
            Order(time.monotonic(), self.target_id, holder, token)
        )
        is_current = order.get("precondition", self.order_count) == self.order_count
        if self.is_loading or not is_current:
            await responder.send(409, [], b"{}")
            return
        self.order_count += 1
        self.is_loading = True
        self.spawn(self.load_weights(order["version"]))
        await responder.send(202, [], b"{}")

    async def load_weights(self, version: int) -> None:
        """Change the weights once the runs have ended."""
        while self.running_requests:
            await asyncio.sleep(EVENT_INTERVAL_S)
        await asyncio.sleep(WEIGHT_LOAD_S)
        self.version = version
        self.kept_contexts.clear()
        self.is_loading = False
