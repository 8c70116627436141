"""Runs nodes of the project as processes, beside stand-ins of the platform.

Only the standard library is used. Nodes are started with the commands of the deploy
file after its build; whatever is judged is seen by clients and engines alone.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
STAND_INS = Path(__file__).resolve().parent
CONNECT_TIMEOUT_S = 1.0
ZONES = ("temuco", "valdivia", "osorno", "puerto-montt")
CONTACT_S = 3.0
"""`contact_ms` of the pages."""

DRAIN_S = 2.0
"""`drain_ms` of the pages."""

RESTART_S = 0.3
"""Pause before a killed process is started again."""

START_S = 12.0
"""Time from the start of the machines to the start of the traffic."""

HEARTBEAT_MS = 1200
LAST_CHUNK = b"\r\n0\r\n\r\n"
SETTINGS = """\
node_name = "{name}"
role = "node"
machine_class = "frontend"
serves = ["frontend","control"]
ip = "{host}"
zone = "{zone}"
region = "sur-chile"
internal_ports = [{rpc}, {rpc_end}]
seeds = {seeds}
is_bootstrap = {bootstrap}
is_counted = {counted}
{data}discovery = "registry"
entry = "vip"
heartbeat_ms = {heartbeat}
contracts = [
  "base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream",
  "engine", "tenants",
]
config_mode = "highest"
[zones]
temuco = "sur-chile"
valdivia = "sur-chile"
osorno = "sur-chile"
puerto-montt = "sur-chile"
[listen]
frontend = "{host}:{frontend}"
readiness = "{host}:{readiness}"
control = "{host}:{control}"
[limits]
cpu_share = 0.968
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = {tolerated}
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
skew_max_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recover_s = 12
transit_ms = 120
reuse_window_s = 20
fencing_required = false
lease_ms = 3000
thaw_ms = 300
version_ms = 12000
version_all_ms = 17000
"""
"""Settings file of a small deployment, as the platform writes it."""


class CannotRunError(Exception):
    """The case could not be brought about."""


def now_s() -> float:
    """Return the monotonic time, which all processes of a machine share."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class Record:
    """Appends what was sent, answered and run to `record.txt`.

    Args:
        path: Path of the file, which is emptied.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.path.write_text("")
        self.stream = open(path, "a", buffering=1)

    def write(self, event: str, **fields) -> None:
        """Append one event."""
        line = {"t": round(now_s(), 4), "event": event, **fields}
        self.stream.write(json.dumps(line) + "\n")

    def read(self) -> list[dict]:
        """Return all events, those of the engines too."""
        lines = self.path.read_text().splitlines()
        return sorted((json.loads(line) for line in lines), key=lambda e: e["t"])


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; return status, headers and body.

    Raises:
        OSError: If the connection fails or breaks.
        TimeoutError: If the whole answer has not come in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            all_headers = {"Host": address, **(headers or {})}
            if body or method in ("POST", "PUT"):
                all_headers["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in all_headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            status, answer_headers = parse_head(head)
            return status, answer_headers, await read_body(reader, answer_headers)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("closed without a whole answer") from error
        finally:
            writer.close()


def parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the headers of an answer."""
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return int(first.split()[1]), {n.strip().lower(): v.strip() for n, v in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of an answer, that of a stream with its chunks."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.read()
    body = b""
    while not body.endswith(LAST_CHUNK):
        data = await reader.read(65536)
        if not data:
            raise ConnectionResetError("closed without a whole answer")
        body += data
    return body


class Node:
    """A node's process.

    Args:
        lab: The lab.
        number: Number of the node, from 0.
        has_disk: Whether it has a disk.
    """

    def __init__(self, lab: Lab, number: int, has_disk: bool) -> None:
        self.lab = lab
        self.host = f"{lab.network}.{number + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"frontend-{self.zone}-{number // len(ZONES) + 1}"
        self.has_disk = has_disk
        self.process: subprocess.Popen | None = None
        self.output = lab.folder / f"{self.name}.out"

    def write_settings(self, is_bootstrap: bool) -> Path:
        """Write the settings file."""
        lab = self.lab
        data = lab.folder / f"data-{self.name}"
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            rpc=lab.ports["rpc"],
            rpc_end=lab.ports["rpc"] + 1,
            seeds=json.dumps([f"{h}:{lab.ports['control']}" for h in lab.seeds]),
            bootstrap=json.dumps(is_bootstrap),
            counted=json.dumps(self.has_disk),
            data=f'data_dir = "{data}"\n' if self.has_disk else "",
            heartbeat=HEARTBEAT_MS,
            tolerated=lab.tolerated_losses,
            frontend=lab.ports["frontend"],
            readiness=lab.ports["readiness"],
            control=lab.ports["control"],
        )
        path = lab.folder / f"{self.name}.toml"
        path.write_text(text)
        return path

    def start(self, is_bootstrap: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        path = self.write_settings(is_bootstrap)
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LABURNUMPITCH_SETTINGS"] = str(path)
        with open(self.output, "ab") as stream:
            self.process = subprocess.Popen(
                ["python3", "-m", "laburnumpitch", "serve"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )
        self.lab.record.write("node_start", node=self.name, host=self.host)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.lab.record.write("node_signal", node=self.name, signal=int(number))
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def restart_after(self, pause_s: float = RESTART_S) -> None:
        """Start the killed process again, as the platform does."""
        await asyncio.sleep(pause_s)
        self.start()

    def address(self, port_name: str) -> str:
        """Return one of the node's addresses."""
        return f"{self.host}:{self.lab.ports[port_name]}"

    async def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        try:
            status, _, _ = await call(self.address("readiness"), "GET", "/-/readyz")
        except (OSError, TimeoutError):
            return False
        return status == 200


class Engine:
    """An engine's process, a stand-in.

    Args:
        lab: The lab.
        number: Number of the engine, from 0, which gives its address.
        program: File of the stand-in.
        options: Options of the engine, see `engine.py`.
    """

    def __init__(
        self, lab: Lab, number: int, program: str = "engine.py", **options
    ) -> None:
        self.lab = lab
        self.number = number
        self.program = program
        self.options = options
        self.address = f"{lab.network}.{100 + number}:{lab.ports['engine']}"
        self.incarnation = 0
        self.instance_id = ""
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start an incarnation with a new identifier."""
        self.incarnation += 1
        suffix = random.randrange(10**6)
        self.instance_id = f"i-{self.number}-{self.incarnation}-{suffix}"
        options = {
            "instance_id": self.instance_id,
            "address": self.address,
            "zone": ZONES[self.number % len(ZONES)],
            "controls": [node.address("control") for node in self.lab.nodes],
            "record": str(self.lab.record.path),
            "heartbeat_ms": HEARTBEAT_MS,
            **self.options,
        }
        with open(self.lab.folder / f"engine-{self.number}.out", "ab") as stream:
            self.process = subprocess.Popen(
                [sys.executable, str(STAND_INS / self.program), json.dumps(options)],
                stdin=subprocess.PIPE,
                stdout=stream,
                stderr=stream,
                text=True,
            )

    def tell(self, **command) -> None:
        """Send a command to the engine."""
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    async def keep_running(self, pause_s: float) -> None:
        """Start a new incarnation some time after each end, until cancelled."""
        while True:
            if self.process.poll() is not None:
                self.lab.record.write("engine_ended", engine=self.instance_id)
                await asyncio.sleep(pause_s)
                self.start()
            await asyncio.sleep(0.01)


class Lab:
    """A small deployment on loopback addresses.

    Args:
        folder: Folder of the case, for `record.txt`.
        node_count: Number of nodes.
        disk_count: Number of nodes with a disk.
        tolerated_losses: Number of them that may be lost at the same time.
    """

    def __init__(
        self,
        folder: Path,
        node_count: int = 9,
        disk_count: int = 4,
        tolerated_losses: int = 1,
    ) -> None:
        self.tolerated_losses = tolerated_losses
        self.is_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="laburnumpitch-review-"))
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        hosts = [f"{self.network}.{n + 1}" for n in range(node_count)]
        self.ports = choose_ports(hosts)
        self.seeds = hosts[:3]
        self.nodes = [Node(self, n, n < disk_count) for n in range(node_count)]
        self.engines: list[Engine] = []
        self.tasks: list[asyncio.Task] = []
        self.version = 0
        self.attempts = 0
        self.random = random.Random()

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for item in [*self.nodes, *self.engines]:
            if item.process is not None and item.process.poll() is None:
                item.process.send_signal(signal.SIGCONT)
                item.process.kill()
                item.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, work) -> asyncio.Task:
        """Run work in a task until the end of the case."""
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def start(self, configuration: dict) -> None:
        """Start nodes and engines, and put the first configuration.

        Raises:
            CannotRunError: If the nodes do not become ready.
        """
        started_s = now_s()
        for node in self.nodes:
            node.start(is_bootstrap=True)
        for engine in self.engines:
            engine.start()
        await self.put(configuration)
        await asyncio.sleep(max(0.0, started_s + START_S - now_s()))
        for _ in range(50):
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the nodes do not become ready")

    async def put(self, configuration: dict) -> None:
        """Send a configuration until it is acknowledged.

        Raises:
            CannotRunError: If it is not.
        """
        self.version += 1
        body = json.dumps({"version": self.version, **configuration}).encode()
        headers = {"Content-Type": "application/json"}
        for _ in range(60):
            node = self.random.choice(self.nodes)
            try:
                status, _, _ = await call(
                    node.address("control"),
                    "PUT",
                    "/-/configuration",
                    headers,
                    body,
                    2.0,
                )
            except (OSError, TimeoutError):
                status = 0
            self.record.write(
                "put", version=self.version, node=node.name, status=status
            )
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError("the configuration is not acknowledged")

    def find_leader(self) -> Node:
        """Return the node that has become the leader last, by the nodes' logs.

        Raises:
            CannotRunError: If none has.
        """
        found = []
        for node in self.nodes:
            if node.output.exists():
                for match in re.finditer(
                    r"event=replica_role .*role=leader term=(\d+)",
                    node.output.read_text(errors="replace"),
                ):
                    found.append((int(match[1]), node))
        if not found:
            raise CannotRunError("no leader")
        return max(found, key=lambda item: item[0])[1]

    async def send(
        self,
        node: Node,
        host: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        deadline_ms: int = 4000,
        kind: str = "",
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a client's request to a node and record its answer; status 0 if none."""
        self.attempts += 1
        attempt = f"{self.attempts:08x}{self.random.getrandbits(32):08x}"
        all_headers = {
            "Host": host,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        self.record.write(
            "sent", id=attempt, node=node.name, kind=kind, method=method, path=path
        )
        try:
            answer = await call(
                node.address("frontend"),
                method,
                path,
                all_headers,
                body,
                deadline_ms / 1000,
            )
        except (OSError, TimeoutError) as error:
            self.record.write("no_answer", id=attempt, kind=kind, why=repr(error))
            return 0, {}, b""
        self.record.write(
            "answered",
            id=attempt,
            kind=kind,
            status=answer[0],
            seal=answer[1].get("server-seal", ""),
        )
        return answer


def choose_ports(hosts: list[str]) -> dict[str, int]:
    """Return free ports, the same at all hosts; the one after `rpc` is free too."""
    while True:
        base = random.randrange(15000, 30000, 10)
        if all(is_free(host, base + n) for host in hosts for n in range(6)):
            return {
                "frontend": base,
                "readiness": base + 1,
                "control": base + 2,
                "rpc": base + 3,
                "engine": base + 5,
            }


def is_free(host: str, port: int) -> bool:
    """Whether a program could listen on a port."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def run(main) -> None:
    """Run a case: `main` returns whether the rule held. Exits with 0, 1 or 2."""
    try:
        has_held = asyncio.run(main())
    except CannotRunError as error:
        print(f"the case could not run: {error}")
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    print("the rule held" if has_held else "the rule was broken")
    sys.exit(0 if has_held else 1)
