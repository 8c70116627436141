"""A stand-in target that speaks the users' platform's protocol and keeps a journal.

One object is one target over all its incarnations. It listens on the loopback interface
and announces the address of a proxy in front of it, which can disturb its traffic.
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
"""Mean time between heartbeats, each of which announces the target."""

HEARTBEAT_TIMEOUT_S = 1.0
"""Time to connect to a node, and time to the first byte of its acknowledgement."""

REQUEST_DURATION_S = 0.03
"""Base duration of a plain request, multiplied by a random factor from 0.5 to 2."""

EVENT_INTERVAL_S = 0.01
"""Base time between two events of a stream, multiplied by a factor from 0.5 to 2."""

SLOW_S = 1.2
"""Delay of an answer that is slow; work that nobody ends is seen by it."""

WEIGHT_LOAD_S = 0.3
"""Duration of a weight load."""

RESTART_S = 0.5
"""Time from a crash by a request until the target is back."""

EVENT_COUNT_LIMIT = 12
"""Exclusive upper bound of the number of events in a stream."""

MODEL = "m"

_incarnation_numbers: Iterator[int] = itertools.count(1)
"""Numbers of the incarnations of all targets, which make their ids unique."""


def get_event_count(stream: str) -> int:
    """Return the number of events in a stream, the same at every target.

    Args:
        stream: Identifier of the attempt that received its first event.
    """
    return 3 + hashlib.blake2b(stream.encode()).digest()[0] % (EVENT_COUNT_LIMIT - 3)


def make_event(stream: str, number: int, build: str) -> str:
    """Return a server-sent event of a stream, with the build that wrote it."""
    count = get_event_count(stream)
    return f"id: {number}\ndata: {stream} {number}/{count} {build}\n\n"


@dataclass(frozen=True)
class Arrival:
    """A request that reached a target."""

    at_s: float
    """Time of arrival on the monotonic clock."""
    target_id: str
    service: str
    attempt: str
    path: str
    organisation: str
    has_run: bool
    seal: str
    version: int
    """Weight version at its start; 0 at a target without weights."""
    drain_acknowledged_s: float
    """When a node acknowledged that the target is draining; infinite before that."""
    build: str = ""
    """Version of the target's software."""
    data_centre: str = ""


@dataclass(frozen=True)
class Work:
    """The time in which a target worked on a request."""

    attempt: str
    target_id: str
    ended_s: float


@dataclass(frozen=True)
class Order:
    """An order to load weights that reached an engine, accepted or not."""

    at_s: float
    target_id: str
    holder: str
    token: int


@dataclass
class ServingPeriod:
    """A time in which a target served and was not leaving, on the monotonic clock."""

    service: str
    build: str
    started_s: float
    ended_s: float = float("inf")
    data_centre: str = ""


@dataclass
class Journal:
    """What happened at all targets of a run."""

    arrivals: list[Arrival] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    works: list[Work] = field(default_factory=list)
    serving_periods: list[ServingPeriod] = field(default_factory=list)
    context_violations: list[str] = field(default_factory=list)
    """Uses of kept context that was made with other weights or across an isolation."""


class PlatformTarget:
    """A target that can crash or leave and start again as a new incarnation.

    Args:
        name: Its name in the run, from which its ids are made.
        service: The service that it belongs to.
        has_weights: Whether it is a model engine.
        list_controls: Returns the control addresses of the nodes.
        journal: Records the requests and orders that reach it.
        isolated_organisations: Organisations that share kept context with no other one.
        seed: Seed of its random choices.
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
        """Address that it announces, of the proxy in front of it."""
        self.data_centre = "dc"
        self.slots = 16
        self.is_full = False
        """Whether it refuses all requests as if it were full, at any load."""
        self.failure_share = 0.0
        """Share of requests that it runs and answers with status 500."""
        self.slow_share = 0.0
        """Share of requests whose answer begins `SLOW_S` later."""
        self.says_leaving = False
        """Whether it says in all its answers that it is leaving."""
        self.deadly_piece = ""
        """Piece of a prompt that crashes it as it begins an answer; empty for none."""
        self.crash_count = 0
        """Number of its crashes by requests."""
        self.version = 1
        self.build = "v1"
        """Version of its software."""
        self.data_centre = "dc"
        """Data centre that it announces."""
        self.keeps_id = False
        """Whether all its incarnations have one id."""
        self.announces = True
        """Whether it sends heartbeats."""
        self.cold_remaining_ms = 0
        """Remaining time of a cold start that it announces."""
        self.target_id = ""
        self.is_running = False
        self.tasks: set[asyncio.Task] = set()
        self.server: HttpServer | None = None
        self.port = 0

    async def start(self) -> None:
        """Start a new incarnation, at the port of the previous one."""
        if not self.keeps_id or not self.target_id:
            self.target_id = f"i-{self.name}-{next(_incarnation_numbers)}"
        self.started_at_ms = int(time.time() * 1000)
        self.heartbeat_sequence = 0
        self.order_count = 0
        self.running_requests = 0
        self.is_loading = False
        self.is_draining = False
        self.drain_acknowledged_s = float("inf")
        self.kept_contexts: dict[tuple[str, str], tuple[int, str]] = {}
        """Weight version and organisation of the request that made a context.

        The keys are pairs of a cache salt and a prefix hash.
        """
        self.heartbeat_address = ""
        self.server = HttpServer(HOST, self.port, self.handle)
        await self.server.start()
        self.port = self.server.port
        self.is_running = True
        self.serving_period = ServingPeriod(
            self.service,
            self.build,
            time.monotonic(),
            data_centre=self.data_centre,
        )
        self.journal.serving_periods.append(self.serving_period)
        self.spawn(self.run_heartbeats())

    def spawn(self, work) -> None:
        """Run work in a task that is cancelled when the target crashes."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def end_serving_period(self) -> None:
        """Record that the target crashes, or begins to leave."""
        if self.is_running:
            period = self.serving_period
            period.ended_s = min(period.ended_s, time.monotonic())

    async def crash(self) -> None:
        """Stop at once, and close every connection."""
        self.end_serving_period()
        self.is_running = False
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            await self.server.close()
            self.server = None

    async def leave(self, drain_s: float) -> None:
        """Announce draining, serve for `drain_s` and 0.5 s more, deregister, stop."""
        self.end_serving_period()
        self.is_draining = True
        await self.send_heartbeat()
        await asyncio.sleep(drain_s + 0.5)
        await self.call_node("DELETE", b"")
        await self.crash()

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            if self.announces:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * self.random.uniform(0.8, 1.2))

    async def send_heartbeat(self) -> None:
        """Announce the target once, trying nodes until one acknowledges."""
        self.heartbeat_sequence += 1
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": self.build,
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": self.cold_remaining_ms,
            "models": models if self.has_weights else [],
            "sequence": self.heartbeat_sequence,
            "born": self.started_at_ms,
        }
        was_draining = self.is_draining
        if await self.call_node("PUT", json.dumps(body).encode()) and was_draining:
            self.drain_acknowledged_s = min(self.drain_acknowledged_s, time.monotonic())

    async def call_node(self, method: str, body: bytes) -> bool:
        """Call the announcement endpoint of up to four nodes, until one acknowledges.

        The node that an acknowledgement named for further heartbeats is tried first.

        Returns:
            Whether a node acknowledged.
        """
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
                # Targets of the platform try the next node, too.
                pass
            finally:
                client.close()
            self.heartbeat_address = ""
        return False

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one HTTP request; refuse it if it is meant for another incarnation."""
        expected = request.get_header("expect-instance")
        if expected and expected != self.target_id:
            await self.reject(request, responder, 421)
        elif request.path == "/-/report":
            await self.send_report(responder)
        elif request.path == "/-/order":
            await self.handle_order(request, responder)
        else:
            await self.execute(request, responder)

    def list_leaving_headers(self) -> list[tuple[str, str]]:
        """Return the headers with which a leaving target says so."""
        return [("server-leaving", "1")] if self.says_leaving else []

    async def reject(
        self, request: HttpRequest, responder: Responder, status: int
    ) -> None:
        """Answer with a status that states that the request was not run."""
        self.record_arrival(request, False, "")
        headers = [
            ("attempt-id", request.get_header("attempt-id")),
            ("not-executed", "1"),
            ("instance-id", self.target_id),
            ("weight-versions", str(self.version)),
            *self.list_leaving_headers(),
        ]
        await responder.send(status, headers, b"not run")

    def record_arrival(self, request: HttpRequest, has_run: bool, seal: str) -> None:
        """Record a request in the journal."""
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
            self.build,
            self.data_centre,
        )
        self.journal.arrivals.append(arrival)

    async def execute(self, request: HttpRequest, responder: Responder) -> None:
        """Run a request, unless the target is full, loading or has other weights."""
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
        headers += self.list_leaving_headers()
        if self.has_weights:
            headers.append(("weight-versions", str(self.version)))
        self.running_requests += 1
        try:
            if self.slow_share and self.random.random() < self.slow_share:
                await asyncio.sleep(SLOW_S)
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
            work = Work(attempt, self.target_id, time.monotonic())
            self.journal.works.append(work)

    async def stream_events(
        self, request: HttpRequest, responder: Responder, headers
    ) -> None:
        """Send the events of a stream that follow the one in `last-event-id`.

        A request that takes a stream up names the attempt that began it.
        """
        stream = request.get_header("resumes") or request.get_header("attempt-id")
        first = int(request.get_header("last-event-id") or 0) + 1
        await responder.start(200, [*headers, ("content-type", "text/event-stream")])
        if self.has_deadly_piece(request):
            self.crash_task = asyncio.create_task(self.crash_and_restart())
            await asyncio.sleep(RESTART_S)
        for number in range(first, get_event_count(stream) + 1):
            await asyncio.sleep(EVENT_INTERVAL_S * self.random.uniform(0.5, 2.0))
            await responder.write(make_event(stream, number, self.build).encode())
        await responder.finish()

    def has_deadly_piece(self, request: HttpRequest) -> bool:
        """Whether a request's prompt has the piece that crashes the target."""
        entries = request.get_header("prefix-hash").split(",")
        pieces = {entry.partition(":")[0] for entry in entries}
        return bool(self.deadly_piece) and self.deadly_piece in pieces

    async def crash_and_restart(self) -> None:
        """Crash, and start again as a new incarnation."""
        self.crash_count += 1
        await self.crash()
        await asyncio.sleep(RESTART_S)
        await self.start()

    def record_context_use(self, request: HttpRequest) -> None:
        """Keep the request's context, and record violations of its reuse.

        A request must not reuse context that was made with other weights, or for
        another organisation if one of the two is isolated.
        """
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

    async def send_report(self, responder: Responder) -> None:
        """Send the weight version, load state and number of accepted orders."""
        report = {
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": self.is_loading,
            "sequence": self.order_count,
            "born": self.started_at_ms,
        }
        await responder.send(
            200, self.list_leaving_headers(), json.dumps(report).encode()
        )

    async def handle_order(self, request: HttpRequest, responder: Responder) -> None:
        """Record an order to load weights and start the load.

        Refused with 409 during a load, or if its precondition is not the number of
        orders that the target has accepted.
        """
        order = msgspec.json.decode(request.body)
        holder, token = order["holder"], order["fencing_token"]
        self.journal.orders.append(
            Order(time.monotonic(), self.target_id, holder, token)
        )
        is_current = order.get("precondition", self.order_count) == self.order_count
        if self.is_loading or not is_current:
            await responder.send(409, self.list_leaving_headers(), b"{}")
            return
        self.order_count += 1
        self.is_loading = True
        self.spawn(self.load_weights(order["version"]))
        await responder.send(202, self.list_leaving_headers(), b"{}")

    async def load_weights(self, version: int) -> None:
        """Wait until no request runs, then switch to a weight version."""
        while self.running_requests:
            await asyncio.sleep(EVENT_INTERVAL_S)
        await asyncio.sleep(WEIGHT_LOAD_S)
        self.version = version
        self.kept_contexts.clear()
        self.is_loading = False
