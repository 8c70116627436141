"""The nodes of a soak: real processes, each at its own loopback address."""

from __future__ import annotations

import json
import os
import shutil
import signal
import time
from collections import Counter
from pathlib import Path

from ..ports import release_ports, reserve_port
from ..process import ROOT, Process, wait_for

TERMINATION_GRACE_S = 8
HEARTBEAT_MS = 400
START_TIMEOUT_S = 60.0
"""Longest wait for a fleet's start; far more than a busy machine needs."""


MEMORY_MB = 200
"""Memory of each node's machine, within which its process has to stay."""

MAX_DESCRIPTORS = 4100
MAX_REPLACEMENTS = 20
"""Maximum number of nodes that are replaced in a run."""


def make_hosts(node_count: int) -> list[str]:
    """Return a loopback address for each node."""
    return [f"127.0.{4 + n // 250}.{1 + n % 250}" for n in range(node_count)]


class NodeProcess(Process):
    """A node's process and the time of its last fault.

    Args:
        host: The node's address.
        settings: Path of its settings file.
        folder: Folder of its output.
        arguments: Further arguments of its command line.
    """

    def __init__(
        self, host: str, settings: Path, folder: Path, arguments: list[str]
    ) -> None:
        super().__init__(host, ["-m", "laburnumpitch", "serve"], folder)
        self.host = host
        self.settings = settings
        self.arguments += ["--settings", str(settings), *arguments]
        self.started_s = time.monotonic()
        self.last_fault_s = float("-inf")
        """When a fault last began or ended at this node."""
        self.is_frozen = False

    def start(self) -> None:
        """Start the process."""
        self.started_s = time.monotonic()
        super().start()

    def record_fault(self) -> None:
        """Record that a fault begins or ends."""
        self.last_fault_s = time.monotonic()


class SoakFleet:
    """The nodes of a fleet, of which the first ones have a disk.

    Args:
        node_count: Number of nodes.
        disk_node_count: Number of nodes with a disk.
        folder: Folder for settings, output and data.
        repeated_sends_share: Late requests that are sent to a second target, at most.
    """

    def __init__(
        self,
        node_count: int,
        disk_node_count: int,
        folder: Path,
        repeated_sends_share: float = 0.0,
    ) -> None:
        hosts = make_hosts(node_count + MAX_REPLACEMENTS)
        self.hosts, self.spare_hosts = hosts[:node_count], hosts[node_count:]
        self.disk_node_count = disk_node_count
        self.folder = folder
        self.arguments = ["--repeated-sends-share", str(repeated_sends_share)]
        self.ports = [reserve_port() for _ in range(5)]
        self.client_port, self.ready_port, self.control_port = self.ports[:3]
        self.rpc_port = self.ports[4]
        self.seeds = self.hosts[:3]
        self.nodes: dict[str, NodeProcess] = {}
        self.disk_nodes_fault_s = time.monotonic()
        """When a fault last began or ended at a node with a disk."""

    def start(self) -> None:
        """Start all nodes at once."""
        for host in self.hosts:
            path = self.folder / f"{host}.toml"
            self.nodes[host] = NodeProcess(host, path, self.folder, self.arguments)
            self.write_settings(host, is_bootstrap=True)
        for node in self.nodes.values():
            node.start()

    def close(self) -> None:
        """Kill all processes; their files stay, for what a check may find."""
        for node in self.nodes.values():
            node.thaw()
            node.kill()
        release_ports(self.ports)

    def remove_files(self) -> None:
        """Remove settings, output and data of the run."""
        shutil.rmtree(self.folder)

    def has_disk(self, host: str) -> bool:
        """Whether a node has a disk, and so a vote in the control log."""
        return host in self.hosts[: self.disk_node_count]

    def write_settings(self, host: str, is_bootstrap: bool = False) -> None:
        """Write a node's settings file."""
        lines = [
            f'node_name = "{host}"',
            f'ip = "{host}"',
            'zone = "dc"',
            f"internal_ports = [{self.rpc_port}, {self.rpc_port + 1}]",
            f"seeds = {json.dumps([f'{s}:{self.control_port}' for s in self.seeds])}",
            f"is_bootstrap = {json.dumps(is_bootstrap)}",
            f"heartbeat_ms = {HEARTBEAT_MS}",
        ]
        if self.has_disk(host):
            lines.append(f'data_dir = "{self.folder / f"data-{host}"}"')
        lines += [
            "[listen]",
            f'frontend = "{host}:{self.client_port}"',
            f'readiness = "{host}:{self.ready_port}"',
            f'control = "{host}:{self.control_port}"',
            "[bounds]",
            f"grace_s = {TERMINATION_GRACE_S}",
            "lease_ms = 3000",
            "[limits]",
            f"memory_mb = {MEMORY_MB}",
            f"max_fds = {MAX_DESCRIPTORS}",
        ]
        temporary_path = self.folder / f"{host}.new"
        temporary_path.write_text("\n".join(lines) + "\n")
        os.replace(temporary_path, self.folder / f"{host}.toml")

    def record_fault(self, host: str) -> None:
        """Record that a fault begins or ends at a node."""
        self.nodes[host].record_fault()
        if self.has_disk(host):
            self.disk_nodes_fault_s = time.monotonic()

    def kill(self, host: str) -> None:
        """Kill a node."""
        self.record_fault(host)
        self.nodes[host].thaw()
        self.nodes[host].kill()

    def restart(self, host: str) -> None:
        """Start a node again."""
        self.record_fault(host)
        self.write_settings(host)
        self.nodes[host].start()

    def wipe_disk(self, host: str) -> None:
        """Remove the data of a node that is not running."""
        shutil.rmtree(self.folder / f"data-{host}", ignore_errors=True)

    def replace(self, host: str) -> str:
        """Replace a node that is not running by an empty one at another address.

        Returns:
            The new node's host.
        """
        new_host = self.spare_hosts.pop(0)
        self.hosts[self.hosts.index(host)] = new_host
        path = self.folder / f"{new_host}.toml"
        self.nodes[new_host] = NodeProcess(new_host, path, self.folder, self.arguments)
        del self.nodes[host]
        self.restart(new_host)
        return new_host

    def freeze(self, host: str) -> None:
        """Suspend a node's process."""
        self.record_fault(host)
        self.nodes[host].is_frozen = True
        self.nodes[host].freeze()

    def thaw(self, host: str) -> None:
        """Resume a node's process."""
        self.record_fault(host)
        self.nodes[host].is_frozen = False
        self.nodes[host].thaw()

    def reload(self, host: str) -> bool:
        """Send SIGHUP to a node; return whether its process runs, and handles it."""
        node = self.nodes.get(host)
        if node is None or not node.handles(signal.SIGHUP):
            return False
        node.signal(signal.SIGHUP)
        return True

    def count_hedged(self) -> Counter[str]:
        """Return the number of requests sent to a second target, by outcome."""
        found: Counter[str] = Counter()
        for path in self.folder.glob("*.out"):
            for line in path.read_text(errors="replace").splitlines():
                if "event=request_hedged " in line:
                    found[line.rpartition("outcome=")[2].split()[0]] += 1
        return found

    def list_control_addresses(self) -> list[str]:
        """Return the control addresses of all nodes."""
        return [f"{host}:{self.control_port}" for host in self.hosts]

    def find_leader(self) -> str:
        """Return the host that the last node has found as the leader."""
        lines = self.nodes[self.hosts[-1]].read_output().splitlines()
        found = [line for line in lines if "event=leader_found" in line]
        return found[-1].partition("leader=")[2].split()[0]

    def count_contacts(self, host: str) -> int:
        """Return how often a node has found a leader."""
        return self.nodes[host].read_output().count("event=leader_found")

    def wait_until_configured(self) -> None:
        """Wait until every node has applied a configuration."""

        def is_configured(node: NodeProcess) -> bool:
            node.check_running()
            return "event=configuration_in_force" in node.read_output()

        for host, node in self.nodes.items():
            wait_for(
                lambda: is_configured(node),
                START_TIMEOUT_S,
                f"{host} to apply a configuration",
                0.2,
            )


def make_run_folder() -> Path:
    """Create a folder for a run below `target`, which version control ignores."""
    path = ROOT / "target" / "soak" / f"{os.getpid()}-{time.monotonic_ns()}"
    path.mkdir(parents=True)
    return path
