"""A stand-in engine that follows our pages, and records what it runs."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from fleet import Fleet, Record

HEARTBEAT_S = 1.2
"""Interval of the heartbeats (`heartbeat_ms`)."""

POLL_S = 0.01
"""Interval at which the server looks whether it has to stop."""

LOAD_S = 1.1
"""Time for which new weights take the engine."""

REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"


@dataclass(frozen=True)
class Run:
    """A request that the engine began to run."""

    at_s: float
    attempt: str
    tenant: str
    version: int
    used: tuple[tuple[str, str], ...]
    """Parts of the prompt found in memory, each with the tenant that made it."""


class EngineServer(ThreadingHTTPServer):
    """Serves each connection in a thread; a crash says nothing."""

    daemon_threads = True

    def handle_error(self, request, client_address) -> None:
        """Ignore connections that broke."""


class Engine:
    """An engine of one service at a loopback address.

    Args:
        fleet: The nodes that it announces itself to.
        record: Where events are written.
        service: Its service.
        model: Its model; empty for a plain service.
        name: Its name, from which its id is made.
        work_s: Time for which a request runs.
    """

    def __init__(
        self,
        fleet: Fleet,
        record: Record,
        service: str,
        model: str = "",
        name: str = "a",
        work_s: float = 0.0,
    ) -> None:
        self.fleet = fleet
        self.record = record
        self.service = service
        self.model = model
        self.name = name
        self.work_s = work_s
        self.loses_each = 0
        """It loses the answer of each of so many runs, by a reset; 0 for none."""
        self.version = 1
        self.incarnation = 0
        self.runs: list[Run] = []
        self.lock = threading.Lock()
        self.server: ThreadingHTTPServer | None = None
        self.port = 0
        self.host = fleet.hosts[0].rpartition(".")[0] + ".200"

    @property
    def instance_id(self) -> str:
        """Identifier of this incarnation."""
        return f"i-{self.name}-{self.incarnation}"

    def start(self) -> None:
        """Start a new incarnation, with the weights of the one before."""
        self.incarnation += 1
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.order_count = 0
        self.is_busy = False
        self.memory: dict[tuple[str, str], str] = {}
        """Tenant that made a part, by salt and part."""
        self.is_running = True
        self.connections: set[socket.socket] = set()
        engine = self

        class Handler(BaseHTTPRequestHandler):
            """Passes calls to the engine."""

            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                super().setup()
                engine.connections.add(self.connection)

            def finish(self) -> None:
                engine.connections.discard(self.connection)
                super().finish()

            def log_message(self, *arguments) -> None:
                """Write no log of its own."""

            def do_GET(self) -> None:
                engine.handle(self)

            do_POST = do_GET

        self.server = EngineServer((self.host, self.port), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(
            target=self.server.serve_forever, args=(POLL_S,), daemon=True
        ).start()
        threading.Thread(
            target=self.run_heartbeats, args=(self.incarnation,), daemon=True
        ).start()
        self.record.write(f"engine {self.instance_id} starts, version {self.version}")

    def crash(self) -> None:
        """Stop without a word; nothing listens at the address any more."""
        self.is_running = False
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record.write(f"engine {self.instance_id} has crashed")

    def run_heartbeats(self, incarnation: int) -> None:
        """Announce the engine until it stops."""
        turn = 0
        while self.is_running and self.incarnation == incarnation:
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            self.sequence += 1
            beat = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "temuco",
                "version": "v1",
                "slots": 128 if self.model else 6,
                "state": "ready",
                "cold_remaining_ms": 0,
                "phase": "unified",
                "models": models if self.model else [],
                "sequence": self.sequence,
                "born": self.born_ms,
            }
            for _ in self.fleet.nodes:
                node = self.fleet.nodes[turn % len(self.fleet.nodes)]
                path = f"/-/instances/{self.instance_id}"
                if self.fleet.call(node, "PUT", path, beat)[0] == 200:
                    break
                turn += 1
            time.sleep(HEARTBEAT_S)

    def answer(
        self,
        call: BaseHTTPRequestHandler,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        """Send a complete answer."""
        call.send_response(status)
        for name, value in headers.items():
            call.send_header(name, value)
        call.send_header("Content-Length", str(len(body)))
        call.end_headers()
        call.wfile.write(body)

    def handle(self, call: BaseHTTPRequestHandler) -> None:
        """Answer one call."""
        body = call.rfile.read(int(call.headers.get("Content-Length") or 0))
        attempt = call.headers.get("Attempt-Id", "")
        base = {"Attempt-Id": attempt, "Instance-Id": self.instance_id}
        if call.headers.get("Expect-Instance", self.instance_id) != self.instance_id:
            self.answer(call, 421, b"", base)
        elif call.path == "/healthz":
            self.answer(call, 200, b"", base)
        elif call.path == REPORT_PATH:
            self.answer(call, 200, self.make_report(), base)
        elif call.path == ORDER_PATH:
            self.handle_order(call, json.loads(body), base)
        else:
            self.execute(call, attempt, base)

    def make_report(self) -> bytes:
        """Return the body of a report."""
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return json.dumps(
            {
                "phase": "unified",
                "models": models if self.model else [],
                "busy": self.is_busy,
                "sequence": self.order_count,
                "queued": 0,
                "active": 0,
                "kv_used": 0,
                "kv_total": 81253,
                "handles": 0,
            }
        ).encode()

    def handle_order(
        self, call: BaseHTTPRequestHandler, order: dict, base: dict[str, str]
    ) -> None:
        """Accept an order to load weights, unless another one is in progress."""
        self.record.write(
            f"engine {self.instance_id} gets order: version {order['version']} "
            f"from {order['holder']}, token {order['fencing_token']}"
        )
        expected = order.get("precondition", self.order_count)
        if self.is_busy or expected != self.order_count:
            self.answer(call, 409, b"{}", base)
            return
        if order["version"] <= self.version:
            self.answer(call, 200, b"{}", base)
            return
        self.order_count += 1
        self.is_busy = True
        threading.Thread(
            target=self.load, args=(order["version"], self.incarnation), daemon=True
        ).start()
        self.answer(call, 202, b"{}", base)

    def load(self, version: int, incarnation: int) -> None:
        """Load weights; what is kept in memory is discarded."""
        time.sleep(LOAD_S)
        if self.incarnation == incarnation and self.is_running:
            self.version = version
            self.memory = {}
            self.is_busy = False
            self.record.write(f"engine {self.instance_id} has version {version}")

    def execute(
        self, call: BaseHTTPRequestHandler, attempt: str, base: dict[str, str]
    ) -> None:
        """Run a request, unless the engine has another version than expected."""
        expected = call.headers.get("Expect-Version", "")
        if self.model and expected and int(expected) != self.version:
            versions = {"Weight-Versions": str(self.version)}
            self.answer(call, 421, b"", base | versions)
            return
        if self.is_busy:
            self.answer(call, 503, b"", base | {"Not-Executed": "1"})
            return
        tenant = call.headers.get("Tenant", "")
        salt = call.headers.get("Cache-Salt", "")
        used = []
        with self.lock:
            for entry in filter(None, call.headers.get("Prefix-Hash", "").split(",")):
                part = entry.partition(":")[0]
                maker = self.memory.get((salt, part))
                if maker is None:
                    self.memory[salt, part] = tenant
                else:
                    used.append((part, maker))
            run = Run(time.monotonic(), attempt, tenant, self.version, tuple(used))
            self.runs.append(run)
        self.record.write(
            f"engine {self.instance_id} runs {attempt}: tenant {tenant or '-'}, "
            f"version {self.version}, salt {salt or '-'}, "
            f"parts in memory (made by): {used or 'none'}"
        )
        seal = {"Server-Seal": f"{self.instance_id}.{len(self.runs)}"}
        if self.loses_each and len(self.runs) % self.loses_each == 0:
            self.record.write(f"engine {self.instance_id} loses its answer to {attempt}")
            raise ConnectionAbortedError("the answer is lost")
        if self.work_s:
            incarnation = self.incarnation
            time.sleep(self.work_s)
            if not self.is_running or self.incarnation != incarnation:
                raise ConnectionAbortedError("the engine has crashed")
        if not self.model:
            self.answer(call, 200, attempt.encode(), base | seal)
            return
        events = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 4))
        stream = {"Content-Type": "text/event-stream"}
        versions = {"Weight-Versions": str(self.version)}
        self.answer(call, 200, events, base | seal | stream | versions)

    def find_run(self, attempt: str) -> Run | None:
        """Return the run of an attempt, or None if it did not run."""
        return next((run for run in self.runs if run.attempt == attempt), None)


def send_request(
    fleet: Fleet,
    record: Record,
    node,
    attempt: str,
    path: str,
    headers: dict[str, str],
    timeout_s: float = 5.0,
    method: str = "POST",
) -> int:
    """Send a client's request to a node and return the status; 0 without an answer."""
    connection = http.client.HTTPConnection(
        node.host, fleet.client_port, timeout=timeout_s
    )
    sent = {"Attempt-Id": attempt, **headers}
    status = 0
    try:
        connection.request(method, path, b"question" if method == "POST" else None, sent)
        answer = connection.getresponse()
        answer.read()
        status = answer.status
    except (OSError, http.client.HTTPException) as error:
        record.write(f"client: {attempt}: {type(error).__name__}")
    finally:
        connection.close()
    record.write(f"client: {attempt} to {node.name}: {status or 'no answer'}")
    return status
