"""A test case with a relay on loopback and targets that send scripted answers."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, replace
from types import SimpleNamespace

import testtools

from laburnumpitch.fleet.engine_client import EngineReport
from laburnumpitch.fleet.messages import NodeRecord, TargetRecord
from laburnumpitch.fleet.target_table import TargetTable
from laburnumpitch.metrics import Metrics
from laburnumpitch.platform.http_headers import HeaderTranslator
from laburnumpitch.relay.configuration import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAMING,
    Limits,
    Organisation,
    Route,
    RoutingConfiguration,
    Service,
    Share,
)
from laburnumpitch.relay.dispatcher import Dispatcher
from laburnumpitch.relay.incarnation_check import IncarnationCheck
from laburnumpitch.relay.relay_api import RelayApi
from laburnumpitch.relay.request import AdmittedRequest, ContextPlan, RequestMetadata
from laburnumpitch.relay.retry_limiter import RetryLimiter
from laburnumpitch.relay.services import RelayServices
from laburnumpitch.relay.stream_origins import StreamOrigins
from laburnumpitch.relay.target_catalog import TargetCatalog
from laburnumpitch.relay.target_statistics import TargetStatistics
from laburnumpitch.transport._socket_state import set_reset_on_close
from laburnumpitch.transport.http_client import HttpClient
from laburnumpitch.transport.http_server import HttpRequest, HttpServer

from ..transport.endless_answers import EndlessAnswer, iterate_parts

SERVICE = "shop"
API_KEY = "secret"
BUILD = "v1"
HOST = "127.0.0.1"
REQUEST_ID = "a1"
TIMEOUT_S = 10.0

TARGET_HEADERS = f"Attempt-Id: {REQUEST_ID}\r\nServer-Seal: s1\r\n".encode()


@dataclass(frozen=True)
class PacedAnswer:
    """An answer with a pause before each part but the first."""

    parts: tuple[bytes, ...]
    pause_s: float


@dataclass(frozen=True)
class Crash:
    """The target ends after the beginning of an answer, and accepts no connection."""

    beginning: bytes = b""


@dataclass(frozen=True)
class RepeatedAnswer:
    """An answer that comes again before the next one on its connection."""

    answer: bytes


@dataclass(frozen=True)
class CutAnswer:
    """The beginning of an answer, after which the connection ends."""

    beginning: bytes
    is_reset: bool


@dataclass(frozen=True)
class HeldClose:
    """The target closes the connection when its `release` is set."""


Script = (
    bytes
    | CutAnswer
    | EndlessAnswer
    | PacedAnswer
    | RepeatedAnswer
    | Crash
    | HeldClose
    | None
)
"""Bytes of an answer, an answer without end, with pauses or with a copy, a crash, or
None for no answer."""


def make_route(name: str, kind: str, **changes) -> Route:
    """Return a route for the paths below /NAME/."""
    route = Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        kind=kind,
        timeout_s=2.0,
        objective_s=0.2,
        priority_class=1,
        shares=(Share(SERVICE, 1.0),),
        max_targets=2,
        is_anonymous=False,
        has_context=False,
        allows_resumption=False,
        gap_objective_s=0.3,
    )
    return replace(route, **changes)


CONFIGURATION = RoutingConfiguration(
    version=1,
    routes=(
        make_route("once", NON_IDEMPOTENT),
        make_route("read", IDEMPOTENT),
        make_route("stream", STREAMING),
        make_route("resumed", STREAMING, allows_resumption=True),
    ),
    services=(Service(SERVICE),),
    limits=Limits(),
    organisations=(Organisation("org", (API_KEY,), None, False),),
)


class NoContext:
    """Plans no kept context."""

    async def plan(self, admitted, target, version) -> ContextPlan:
        """Return an empty plan."""
        return ContextPlan("none")

    def cancel_saves(self, admitted, plan) -> None:
        """Cancel nothing."""


class NoCoordinator:
    """A placement source without coordinators: the node chooses every target."""

    async def request_placement(self, call) -> None:
        """Return no answer."""


class ScriptedTarget:
    """A target that sends the next scripted answer to each request.

    Args:
        scripts: Each answer, in sequence.
    """

    def __init__(self, scripts: list[Script]) -> None:
        self.scripts = scripts
        self.requests: list[bytes] = []
        self.connections = 0
        """Number of connections that were opened to it."""
        self.closed = asyncio.Event()
        self.release = asyncio.Event()

    async def start(self) -> int:
        """Listen on a free port and return it."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        copy = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                body = await reader.readexactly(length)
                self.requests.append(head + body)
                script = self.scripts.pop(0) if self.scripts else None
                writer.write(copy)
                copy = b""
                if isinstance(script, RepeatedAnswer):
                    script = copy = script.answer
                if script is None:
                    await reader.read()
                    return
                if isinstance(script, CutAnswer):
                    writer.write(script.beginning)
                    await writer.drain()
                    set_reset_on_close(writer, script.is_reset)
                    return
                if isinstance(script, HeldClose):
                    await self.release.wait()
                    return
                if isinstance(script, Crash):
                    self.server.close()
                    writer.write(script.beginning)
                    return
                if isinstance(script, EndlessAnswer):
                    async for part in iterate_parts(script, TARGET_HEADERS):
                        writer.write(part)
                        await writer.drain()
                if isinstance(script, PacedAnswer):
                    writer.write(script.parts[0])
                    for part in script.parts[1:]:
                        await asyncio.sleep(script.pause_s)
                        writer.write(part)
                    continue
                writer.write(script)
                if not is_framed(script):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()


def is_framed(script: bytes) -> bool:
    """Whether the connection stays open after an answer."""
    head, _, body = script.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2]) <= len(body)
    return script.endswith(b"0\r\n\r\n")


def make_answer(
    status: int = 200,
    body: bytes = b"whole",
    request_id: str = REQUEST_ID,
    seal: str = "s1",
    extra: str = "",
    length: int | None = None,
    encoding: str = "utf-8",
) -> bytes:
    """Return an answer of a target."""
    lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {request_id}"]
    if seal:
        lines.append(f"Server-Seal: {seal}")
    if extra:
        lines.append(extra)
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join([*lines, "", ""]).encode(encoding) + body


class RelayCase(testtools.TestCase):
    """Starts a relay in front of scripted targets."""

    target_builds: dict[int, str] = {}
    """Build of each target, by its number, other than `BUILD`."""
    builds_on_record: dict[str, bool] = {BUILD: True}

    def run_relay(self, scripts: list[list[Script]], scenario) -> None:
        """Run a scenario with a client against a relay and its targets."""

        async def run() -> None:
            await self.start(scripts)
            try:
                await asyncio.wait_for(scenario(), TIMEOUT_S)
            finally:
                await self.close()

        asyncio.run(run())

    async def start(self, scripts: list[list[Script]]) -> None:
        """Start targets and a relay."""
        self.targets = [ScriptedTarget(list(part)) for part in scripts]
        table = TargetTable(1.0)
        for number, target in enumerate(self.targets):
            address = f"{HOST}:{await target.start()}"
            build = self.target_builds.get(number, BUILD)
            record = TargetRecord(
                f"t{number}", SERVICE, address, "dc", 1, 1, 4, build=build
            )
            table.put(record, 0.0)
        node = NodeRecord(HOST, "n1", "", "", "dc", False)
        fleet_view = self.fleet_view = SimpleNamespace(
            targets=table,
            configuration=CONFIGURATION,
            weight_versions={},
            quarantined=frozenset(),
            quarantined_pieces=frozenset(),
            suspect_pieces=frozenset(),
            suspect_requests=frozenset(),
            node_count=1,
            term=1,
            sequence=1,
            other_loads={},
            evacuated=frozenset(),
            assignments={},
            on_change=[],
            node=node,
            hosts=[HOST],
            builds={SERVICE: self.builds_on_record},
            get_contact_age_s=lambda: 0.0,
        )
        statistics = TargetStatistics(time.monotonic)
        source = random.Random(1)
        catalog = TargetCatalog(fleet_view, statistics, time.monotonic, 12.0)
        dispatcher = Dispatcher(catalog, NoCoordinator(), time.monotonic, source)
        retry_limiter = RetryLimiter(0.2, 100.0, 10.0, lambda: 1, time.monotonic)
        self.notices: list[object] = []
        self.stream_origins = StreamOrigins(
            fleet_view, None, 0, Metrics(), time.monotonic
        )
        services = RelayServices(
            fleet_view,
            dispatcher,
            NoContext(),
            statistics,
            HeaderTranslator(),
            retry_limiter,
            self.stream_origins,
            IncarnationCheck(self.read_report, time.monotonic),
            SimpleNamespace(call=self.record_notice),
            Metrics(),
            time.monotonic,
        )
        dispatcher.on_fleet_change()
        # Failure rates make the first target preferred, so that the sequence in which
        # targets are tried is known.
        for number in range(1, len(self.targets)):
            statistics.get(f"t{number}").failure_rate = 0.1 * number
        self.services = services
        self.relay_api = RelayApi(services, source)
        self.server = HttpServer(HOST, 0, self.relay_api.handle)
        await self.server.start()
        self.client = HttpClient(f"{HOST}:{self.server.port}")

    def change_configuration(self, **changes) -> None:
        """Put a changed configuration in force."""
        fleet_view = self.services.fleet_view
        fleet_view.configuration = replace(fleet_view.configuration, **changes)
        for callback in fleet_view.on_change:
            callback()

    async def read_report(self, target: TargetRecord) -> EngineReport:
        """Return the report of a target that has not restarted."""
        return EngineReport(0, False, {}, target.born_ms)

    async def record_notice(self, notice: object, timeout_s: float) -> None:
        """Record a notice to the leader."""
        self.notices.append(notice)

    async def wait_notices(self) -> None:
        """Wait until no notice to the leader is pending."""
        while self.services.notices.tasks:
            await asyncio.wait(self.services.notices.tasks)

    async def close(self) -> None:
        """Stop everything."""
        self.client.close()
        await self.server.close()
        self.services.close()
        for target in self.targets:
            target.server.close()

    async def send_request(
        self,
        route: str,
        method: str = "POST",
        key: str = API_KEY,
        request_id: str = REQUEST_ID,
        deadline_ms: int = 1500,
        **headers: str,
    ):
        """Send a request and return status, headers and body."""
        answer = await self.client.request(
            method,
            f"/{route}/x?q=1",
            [
                ("attempt-id", request_id),
                ("authorization", f"Bearer {key}"),
                ("deadline-ms", str(deadline_ms)),
                *((name.replace("_", "-"), value) for name, value in headers.items()),
            ],
            b"body",
            first_byte_timeout_s=TIMEOUT_S,
        )
        body = await answer.read()
        return answer.status, dict(answer.headers), body

    def make_admitted(self, route: str, prompt_tokens: int) -> AdmittedRequest:
        """Return an admitted request of a route."""
        request = HttpRequest("POST", f"/{route}/", "", [], b"", time.monotonic())
        metadata = RequestMetadata(
            REQUEST_ID, HOST, API_KEY, None, "", prompt_tokens, 0, (), ""
        )
        found = next(r for r in CONFIGURATION.routes if r.name == route)
        return AdmittedRequest(request, metadata, found, SERVICE, None, 1)

    def get_deadline_s(self) -> float:
        """Return a deadline that no test reaches."""
        return time.monotonic() + TIMEOUT_S

    def count_requests(self) -> list[int]:
        """Return the number of requests that each target received."""
        return [len(target.requests) for target in self.targets]
