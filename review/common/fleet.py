"""Starts nodes of a small deployment for the review's scripts.

Only the standard library is used. The nodes are started with the command of
deploy/system.toml, from the packages that its build puts into target/deps.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

START_TIMEOUT_S = 20.0
"""Longest wait for the nodes to start."""

CALL_TIMEOUT_S = 1.0
"""Time that an operator waits for an answer."""

RULE_HELD = 0
RULE_BROKEN = 1
COULD_NOT_RUN = 2


class CouldNotRunError(Exception):
    """The case could not be run, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.lock = threading.Lock()
        self.stream = open(folder / "record.txt", "w")

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self.lock:
            age_s = time.monotonic() - self.started_s
            self.stream.write(f"{age_s:8.3f} s  {text}\n")
            self.stream.flush()


def is_disrupted() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def is_free(host: str, ports: list[int]) -> bool:
    """Whether all ports of a host can be listened on."""
    for port in ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Node:
    """A node's process.

    Args:
        name: Its name.
        host: Its address.
        has_disk: Whether it has a data folder, and so votes.
        rpc_port: First of its internal ports.
    """

    def __init__(self, name: str, host: str, has_disk: bool, rpc_port: int) -> None:
        self.name = name
        self.host = host
        self.has_disk = has_disk
        self.rpc_port = rpc_port
        self.process: subprocess.Popen | None = None
        self.output: Path | None = None

    def read_output(self) -> str:
        """Return all that the process has logged."""
        return self.output.read_text(errors="replace") if self.output.exists() else ""


class Fleet:
    """Nodes at loopback addresses of their own, all with the same ports.

    Args:
        record: Where events are written.
        disk_nodes: Number of nodes with a disk; the first three are the seeds.
        other_nodes: Number of nodes without one.
        bounds: Bounds of the settings file.
        rpc_ports: Internal port by node index, where it is not the common one.
    """

    def __init__(
        self,
        record: Record,
        disk_nodes: int,
        other_nodes: int,
        bounds: dict[str, object],
        heartbeat_ms: int = 1200,
    ) -> None:
        self.record = record
        self.bounds = bounds
        self.heartbeat_ms = heartbeat_ms
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        count = disk_nodes + other_nodes
        self.choose_addresses(count)
        self.nodes = [
            Node(f"frontend-{i + 1}", self.hosts[i], i < disk_nodes, self.rpc_port)
            for i in range(count)
        ]
        self.seeds = self.hosts[:3]

    def choose_addresses(self, count: int) -> None:
        """Choose hosts and ports that nothing listens on."""
        for _ in range(50):
            subnet = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
            first_port = random.randint(12000, 30000)
            self.hosts = [f"{subnet}.{i + 1}" for i in range(count)]
            self.client_port, self.ready_port, self.control_port = (
                first_port,
                first_port + 1,
                first_port + 2,
            )
            self.rpc_port = first_port + 10
            self.link_port = first_port + 30
            ports = [first_port + i for i in (0, 1, 2, 10, 11, 30, 31)]
            if all(is_free(host, ports) for host in self.hosts):
                return
        raise CouldNotRunError("no free ports")

    def write_settings(self, node: Node, is_bootstrap: bool) -> Path:
        """Write a node's settings file as the platform does."""
        seeds = [f"{seed}:{self.control_port}" for seed in self.seeds]
        lines = [
            f'node_name = "{node.name}"',
            'role = "node"',
            'machine_class = "frontend"',
            'serves = ["frontend","control"]',
            f'ip = "{node.host}"',
            'zone = "temuco"',
            'region = "sur-chile"',
            f"internal_ports = [{node.rpc_port}, {node.rpc_port + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"is_bootstrap = {json.dumps(is_bootstrap)}",
            f"is_counted = {json.dumps(node.has_disk)}",
            'discovery = "registry"',
            'entry = "vip"',
            f"heartbeat_ms = {self.heartbeat_ms}",
            'config_mode = "highest"',
        ]
        if node.has_disk:
            data_folder = self.folder / f"data-{node.name}"
            data_folder.mkdir(exist_ok=True)
            lines.append(f'data_dir = "{data_folder}"')
        lines += [
            "[zones]",
            'temuco = "sur-chile"',
            "[listen]",
            f'frontend = "{node.host}:{self.client_port}"',
            f'readiness = "{node.host}:{self.ready_port}"',
            f'control = "{node.host}:{self.control_port}"',
            "[fault_tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in self.bounds.items()),
        ]
        path = self.folder / f"{node.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, node: Node, is_bootstrap: bool = False) -> None:
        """Start a node's process with the command of the deploy file."""
        settings = self.write_settings(node, is_bootstrap)
        node.output = self.folder / f"{node.name}.log"
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LABURNUMPITCH_SETTINGS"] = str(settings)
        environment["PYTHONUNBUFFERED"] = "1"
        with open(node.output, "ab") as stream:
            node.process = subprocess.Popen(
                ["python3", "-m", "laburnumpitch", "serve"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )
        self.record.write(f"{node.name} ({node.host}) started")

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        self.record.write(f"{node.name} gets {number.name}")
        node.process.send_signal(number)

    def kill(self, node: Node) -> None:
        """Kill a node's process and wait for its end."""
        self.signal(node, signal.SIGKILL)
        node.process.wait(10)

    def wait_for_log(self, node: Node, text: str, timeout_s: float) -> None:
        """Wait until a node has logged a text.

        Raises:
            CouldNotRunError: If it does not in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while text not in node.read_output():
            if time.monotonic() > deadline_s:
                raise CouldNotRunError(f"{node.name} did not log {text!r}")
            time.sleep(0.01)

    def close(self) -> None:
        """End all processes, and remove their files."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait(10)
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def call(
        self,
        node: Node,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        port: int | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Call a node; status 0 without an answer. Calls of control by default."""
        connection = http.client.HTTPConnection(
            node.host, port or self.control_port, timeout=timeout_s
        )
        data = None if body is None else json.dumps(body).encode()
        sent = dict(headers or {})
        if data is not None:
            sent["Content-Type"] = "application/json"
        try:
            connection.request(method, path, data, sent)
            answer = connection.getresponse()
            content = answer.read()
            answered = {name.lower(): value for name, value in answer.getheaders()}
            return answer.status, content, answered
        except (OSError, http.client.HTTPException):
            return 0, b"", {}
        finally:
            connection.close()

    def put_configuration(
        self, node: Node, configuration: dict, timeout_s: float = CALL_TIMEOUT_S
    ) -> int:
        """Send a configuration to a node and return the status."""
        sent_s = time.monotonic()
        status, _, _ = self.call(
            node, "PUT", "/-/configuration", configuration, timeout_s=timeout_s
        )
        version = configuration["version"]
        took_ms = (time.monotonic() - sent_s) * 1000
        self.record.write(
            f"operator: PUT configuration {version} at {node.name}: "
            f"{status or 'no answer'} after {took_ms:.0f} ms"
        )
        return status

    def put_until_acknowledged(
        self, nodes: list[Node], configuration: dict, timeout_s: float
    ) -> Node:
        """Send a configuration to one node after another until it is acknowledged.

        Raises:
            CouldNotRunError: If it is not in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            for node in nodes:
                if self.put_configuration(node, configuration) == 200:
                    return node
                time.sleep(0.2)
        raise CouldNotRunError("a configuration was not acknowledged")

    def read_version(self, node: Node) -> int | None:
        """Return the version that a node reads out; None without a clear answer."""
        status, content, _ = self.call(node, "GET", "/-/configuration")
        version = json.loads(content)["version"] if status == 200 else None
        self.record.write(
            f"operator: GET configuration at {node.name}: {status or 'no answer'}"
            + (f", version {version}" if version is not None else "")
        )
        return version


def make_configuration(version: int, service: str = "pedidos") -> dict:
    """Return a small configuration whose route leads to one of two services."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-orders",
                "host": "orders.example",
                "path_prefix": "/orders/",
                "route_type": "non_idempotent",
                "timeout_ms": 2000,
                "target_latency_ms": 300,
                "priority": 1,
                "service": service,
                "max_attempts": 1,
                "anonymous": True,
                "sticky": False,
                "resumable": False,
            }
        ],
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 110}
            for name in ("pedidos", "pedidos-2")
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [],
    }


BOUNDS: dict[str, object] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "revert_slack_ms": 250,
    "skew_max_ms": 5000,
    "fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 20,
    "fencing_required": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 12000,
    "version_all_ms": 17000,
}
"""Bounds of the deployment in our pages."""


class CutLink:
    """Forwards TCP connections to an address, or holds them silently while it is cut.

    While it is cut, connections open but nothing passes, as with peers behind a
    partition that accept nothing. Healing closes them.
    """

    def __init__(self, host: str, port: int, upstream: tuple[str, int]) -> None:
        self.upstream = upstream
        self.is_cut = False
        self.lock = threading.Lock()
        self.sockets: set[socket.socket] = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve connections until the listener is closed."""
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                self.sockets.add(client)
            if not self.is_cut:
                threading.Thread(
                    target=self.connect, args=(client,), daemon=True
                ).start()

    def connect(self, client: socket.socket) -> None:
        """Forward a connection in both directions."""
        try:
            server = socket.create_connection(self.upstream, 1.0)
            server.settimeout(None)
        except OSError:
            self.drop(client)
            return
        with self.lock:
            self.sockets.add(server)
        for source, sink in ((client, server), (server, client)):
            threading.Thread(
                target=self.forward, args=(source, sink), daemon=True
            ).start()

    def forward(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward one direction until it ends; drop what comes during a cut."""
        try:
            while data := source.recv(65536):
                if not self.is_cut:
                    sink.sendall(data)
        except OSError:
            pass
        self.drop(source)
        self.drop(sink)

    def drop(self, end: socket.socket) -> None:
        """Close one end of a connection."""
        with self.lock:
            self.sockets.discard(end)
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        end.close()

    def heal(self) -> None:
        """Forward again; what was held is closed."""
        self.is_cut = False
        with self.lock:
            held = list(self.sockets)
        for end in held:
            self.drop(end)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.listener.close()
        self.heal()


def run_case(folder: Path, case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not."""
    record = Record(folder)
    record.write(f"TROUBLE={int(is_disrupted())}")
    try:
        status = RULE_BROKEN if case(record) else RULE_HELD
    except CouldNotRunError as error:
        record.write(f"could not run: {error}")
        status = COULD_NOT_RUN
    except Exception as error:
        # Python would exit with 1, which states that the rule was broken.
        record.write(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    record.write({0: "the rule held", 1: "the rule was broken"}.get(status, "not run"))
    sys.exit(status)
