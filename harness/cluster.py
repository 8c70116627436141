"""Runs a complete deployment as processes: nodes, targets and fault proxies."""

from __future__ import annotations

import shutil
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from .deployment import (
    ANNOUNCE_KEY,
    ENGINE_POOL,
    ROOT_KEY,
    SERVICE_POOL,
    STORE_POOL,
    Deployment,
    hash_key,
    make_document,
)
from .fault_proxy import FaultProxy
from .operator import Operator, is_ready
from .ports import release_ports, reserve_port
from .process import Process, wait_for

START_TIMEOUT_S = 30.0
CLUSTER_ID = "harness"


@dataclass
class ClusterOptions:
    """Settings of a cluster that its deployment does not set."""

    seed: int = 1
    has_proxies: bool = True
    policy: str = "laburnumpitch"
    export: str = "on"
    event_gap_share: float = 0.02
    """Share of its cache events that an engine loses."""
    snapshot_entries: int = 20000
    """Number of log entries after which a control replica takes a snapshot."""
    drain_grace_s: float = 1.0
    announce_interval_s: float = 0.25
    announce_entries: int = 99
    """Number of entries to which targets announce themselves."""
    engine_arguments: list[str] = field(default_factory=list)
    service_arguments: list[str] = field(default_factory=list)


class Cluster:
    """The processes of a deployment.

    Args:
        deployment: Sizes and times.
        options: Further settings; the defaults if None.
    """

    def __init__(
        self, deployment: Deployment, options: ClusterOptions | None = None
    ) -> None:
        self.deployment = deployment
        self.options = options or ClusterOptions()
        self.folder = Path(tempfile.mkdtemp(prefix="laburnumpitch-"))
        self.proxy = FaultProxy(self.options.seed)
        self.processes: dict[str, Process] = {}
        self.controls: list[str] = []
        self.entries: list[str] = []
        self.http_addresses: dict[str, str] = {}
        """HTTP address of each entry and target, not through a proxy."""
        self.rpc_addresses: dict[str, str] = {}
        self.weight_store = ""
        self.ports: list[int] = []

    def reserve_port(self) -> int:
        """Reserve a port until the cluster closes."""
        port = reserve_port()
        self.ports.append(port)
        return port

    def start(self, document: str | None = None) -> None:
        """Start all processes, apply a document and wait until targets are known."""
        self.proxy.start()
        self.add_controls()
        for index in range(self.deployment.entries):
            self.add_entry(index)
        for name in [*self.controls, *self.entries]:
            self.processes[name].start()
        self.wait_ready()
        self.operator.apply(document or make_document(self.deployment))
        self.add_targets()
        self.wait_targets()

    def close(self) -> None:
        """Kill every process and remove its files."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.kill()
        self.proxy.close()
        release_ports(self.ports)
        shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self) -> Cluster:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exception) -> None:
        self.close()

    def add_process(self, name: str, arguments: list[str]) -> Process:
        """Add a process without starting it."""
        process = Process(name, arguments, self.folder)
        self.processes[name] = process
        return process

    def add_controls(self) -> None:
        """Add the control replicas, their data folders and the links between them."""
        self.controls = [f"c{index + 1}" for index in range(self.deployment.controls)]
        for name in self.controls:
            self.rpc_addresses[name] = f"127.0.0.1:{self.reserve_port()}"
        for name in self.controls:
            self.init_control(name)
            self.add_process(name, self.get_control_arguments(name))

    def get_data_folder(self, name: str) -> Path:
        """Return the data folder of a control replica."""
        return self.folder / f"data-{name}"

    def init_control(self, name: str) -> None:
        """Create the data folder of a control replica."""
        arguments = ["-m", "laburnumpitch", "init", "--node-id", name]
        arguments += ["--cluster-id", CLUSTER_ID]
        arguments += ["--data-folder", str(self.get_data_folder(name))]
        peers = ",".join(f"{key}={self.rpc_addresses[key]}" for key in self.controls)
        arguments += ["--control-peers", peers]
        process = Process(f"init-{name}", arguments, self.folder)
        process.start()
        if process.wait_exit():
            raise RuntimeError(process.read_output())

    def get_link_address(self, source: str, destination: str, address: str) -> str:
        """Return the address at which one process reaches another.

        This is a new proxy link if the cluster has proxies.
        """
        if not self.options.has_proxies or source == destination:
            return address
        return self.proxy.add_link(f"{source}>{destination}", address).address

    def format_control_peers(self, source: str) -> str:
        """Return the flag value for the control peers as one process reaches them."""
        return ",".join(
            f"{name}={self.get_link_address(source, name, self.rpc_addresses[name])}"
            for name in self.controls
        )

    def get_control_arguments(self, name: str) -> list[str]:
        """Return a control replica's command line."""
        port = self.rpc_addresses[name].rpartition(":")[2]
        return [
            *("-m", "laburnumpitch", "node", "--roles", "control"),
            *("--node-id", name, "--rpc-port", port),
            *("--cluster-id", CLUSTER_ID),
            *("--control-peers", self.format_control_peers(name)),
            *("--data-folder", str(self.get_data_folder(name))),
            *("--root-key-hash", hash_key(ROOT_KEY)),
            *("--snapshot-entries", str(self.options.snapshot_entries)),
            *("--log-file", str(self.folder / f"{name}.log")),
        ]

    def add_entry(self, index: int) -> str:
        """Add an entry node."""
        name = f"e{index + 1}"
        http_port, rpc_port = self.reserve_port(), self.reserve_port()
        self.http_addresses[name] = f"127.0.0.1:{http_port}"
        self.rpc_addresses[name] = f"127.0.0.1:{rpc_port}"
        advertised = self.get_link_address("nodes", name, self.rpc_addresses[name])
        centres = self.deployment.data_centres
        arguments = [
            *("-m", "laburnumpitch", "node", "--roles", "entry"),
            *("--node-id", name, "--http-port", str(http_port)),
            *("--rpc-port", str(rpc_port), "--advertise-rpc", advertised),
            *("--cluster-id", CLUSTER_ID),
            *("--control-peers", self.format_control_peers(name)),
            *("--data-centre", centres[index % len(centres)]),
            *("--announce-key", ANNOUNCE_KEY),
            *("--policy", self.options.policy, "--export", self.options.export),
            *("--drain-grace-s", str(self.options.drain_grace_s)),
            *("--log-file", str(self.folder / f"{name}.log")),
        ]
        self.entries.append(name)
        self.add_process(name, arguments)
        return name

    def wait_during_start(
        self, condition, description: str, interval_s: float = 0.02
    ) -> None:
        """Wait until a condition holds.

        Raises:
            ProcessEndedError: If a process of the cluster ends by itself.
            TimeoutError: If it does not hold in time.
        """

        def is_met() -> bool:
            for process in self.processes.values():
                if process.popen is not None:
                    process.check_running()
            return condition()

        wait_for(is_met, START_TIMEOUT_S, description, interval_s)

    def wait_ready(self, names: list[str] | None = None) -> None:
        """Wait until entries report that they are ready."""
        for name in names or self.entries:
            address = self.http_addresses[name]
            self.wait_during_start(lambda: is_ready(address), f"{name} to be ready")

    @property
    def operator(self) -> Operator:
        """The root operator, through the entries that are running."""
        alive = [name for name in self.entries if self.processes[name].is_running]
        return Operator([self.http_addresses[name] for name in alive], ROOT_KEY)

    def add_targets(self) -> None:
        """Start the weight store, engines, services and stores."""
        port = self.reserve_port()
        self.weight_store = f"127.0.0.1:{port}"
        self.http_addresses["weights"] = self.weight_store
        load_s = str(self.deployment.weight_load_s)
        arguments = ["-m", "standins.weight_store", "--port", str(port)]
        self.add_process("weights", [*arguments, "--load-s", load_s]).start()
        for index in range(self.deployment.stores):
            self.add_store(index)
        for index in range(self.deployment.engines):
            self.add_engine(index)
        for index in range(self.deployment.services):
            self.add_service(index)

    def make_target_arguments(
        self, name: str, kind: str, pool: str, index: int
    ) -> list[str]:
        """Return the module and the flags that all kinds of targets share."""
        port = self.reserve_port()
        self.http_addresses[name] = f"127.0.0.1:{port}"
        advertised = self.get_link_address("nodes", name, self.http_addresses[name])
        centres = self.deployment.data_centres
        announced_entries = self.entries[: self.options.announce_entries]
        entries = ",".join(self.http_addresses[entry] for entry in announced_entries)
        return [
            *("-m", f"standins.{kind}", "--id", name, "--pool", pool),
            *("--port", str(port), "--advertise", advertised),
            *("--entries", entries, "--announce-key", ANNOUNCE_KEY),
            *("--announce-interval-s", str(self.options.announce_interval_s)),
            *("--data-centre", centres[index % len(centres)]),
            *("--seed", str(self.options.seed + index)),
        ]

    def add_engine(self, index: int) -> str:
        """Start an engine."""
        name = f"engine{index + 1}"
        sizes = self.deployment
        arguments = [
            *self.make_target_arguments(name, "engine", ENGINE_POOL, index),
            *("--slots", str(sizes.slots), "--token-s", str(sizes.token_s)),
            *("--prefill-tokens-per-s", str(sizes.prefill_tokens_per_s)),
            *("--cache-pieces", str(sizes.cache_pieces)),
            *("--piece-tokens", str(sizes.piece_tokens)),
            *("--block-bytes", str(sizes.block_bytes)),
            *("--weight-store", self.weight_store),
            *("--event-gap-share", str(self.options.event_gap_share)),
            *self.options.engine_arguments,
        ]
        if sizes.ignore_fences:
            arguments.append("--ignore-fences")
        self.add_process(name, arguments).start()
        return name

    def add_service(self, index: int) -> str:
        """Start a plain service."""
        name = f"service{index + 1}"
        arguments = [
            *self.make_target_arguments(name, "service", SERVICE_POOL, index),
            *("--journal", str(self.folder / f"{name}.journal")),
            *self.options.service_arguments,
        ]
        self.add_process(name, arguments).start()
        return name

    def add_store(self, index: int) -> str:
        """Start a KV store."""
        name = f"store{index + 1}"
        sizes = self.deployment
        arguments = [
            *self.make_target_arguments(name, "store", STORE_POOL, index),
            *("--memory-bytes", str(sizes.store_memory_bytes)),
            *("--disk-bytes", str(sizes.store_disk_bytes)),
            *("--link-bytes-per-s", str(sizes.link_bytes_per_s)),
        ]
        self.add_process(name, arguments).start()
        return name

    def wait_targets(self) -> None:
        """Wait until control knows the load of every target."""
        expected_targets = {
            name
            for name in self.processes
            if name.startswith(("engine", "service", "store"))
            and self.processes[name].is_running
        }
        operator = self.operator

        def is_known() -> bool:
            status = operator.call("status", {})
            return expected_targets <= {load["target_id"] for load in status["loads"]}

        self.wait_during_start(is_known, "targets to be known", 0.1)
        # Entries get the last target with their next heartbeat.
        for name in self.entries:
            log = self.folder / f"{name}.log"
            wait_for(log.exists, START_TIMEOUT_S, f"{log} to exist")

    def read_orders(self) -> dict[str, int]:
        """Return how often each order ran, by `organisation/key`."""
        runs: dict[str, int] = {}
        for journal in sorted(self.folder.glob("*.journal")):
            for line in journal.read_text().splitlines():
                key, organisation, *_ = line.split()
                name = f"{organisation}/{key}"
                runs[name] = runs.get(name, 0) + 1
        return runs

    def get_log_files(self) -> list[Path]:
        """Return the logs of all nodes."""
        return sorted(self.folder.glob("*.log"))

    def list_links(self, name: str) -> list[str]:
        """Return the links that lead to or from a process."""
        return [link for link in self.proxy.links if name in link.split(">")]

    def isolate(self, name: str) -> None:
        """Drop all data on the links of a process; connections stay open."""
        for link in self.list_links(name):
            self.proxy.cut(link)

    def rejoin(self, name: str) -> None:
        """Restore the links of an isolated process."""
        for link in self.list_links(name):
            self.proxy.heal(link)
