"""One node as a process on a small machine, alone or with its first configuration."""

from __future__ import annotations

import http.client
import os
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import testtools

from harness.ports import release_ports, reserve_port
from harness.process import Process, wait_for

HOST = "127.0.0.1"
MEMORY_MB = 128
"""Memory of the machine; the process's resident memory has to stay below it."""

MAX_DESCRIPTORS = 500
"""Descriptors of the machine, so that few connections reach the limit."""

START_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 20.0
"""Time in which an ordinary request is answered; far more than it needs."""

KB = 1024


class NodeProcess:
    """A node that is its fleet's only one.

    Args:
        folder: Folder of its settings, data and output.
    """

    def __init__(self, folder: Path) -> None:
        ports = [reserve_port() for _ in range(3)]
        rpc_port = reserve_port()
        while (metrics_port := reserve_port()) != rpc_port + 1:
            ports.append(rpc_port)
            rpc_port = metrics_port
        self.ports = [*ports, rpc_port, metrics_port]
        names = ("clients", "readiness", "control")
        self.addresses = {
            name: (HOST, port) for name, port in zip(names, ports, strict=False)
        }
        self.addresses |= {"rpc": (HOST, rpc_port), "metrics": (HOST, metrics_port)}
        settings_path = folder / "settings.toml"
        settings_path.write_text(self.make_settings(folder))
        arguments = ["-m", "laburnumpitch", "serve", "--settings", str(settings_path)]
        self.process = Process("node", arguments, folder)
        self.max_descriptors = 0
        """Most descriptors that were seen open."""

    def make_settings(self, folder: Path) -> str:
        """Return the settings file of a small machine."""
        control = "{}:{}".format(*self.addresses["control"])
        return "\n".join(
            (
                'node_name = "n"',
                f'ip = "{HOST}"',
                'zone = "dc"',
                f'data_dir = "{folder / "data"}"',
                f'internal_ports = [{self.addresses["rpc"][1]}]',
                f'seeds = ["{control}"]',
                "is_bootstrap = true",
                "[listen]",
                'frontend = "{}:{}"'.format(*self.addresses["clients"]),
                'readiness = "{}:{}"'.format(*self.addresses["readiness"]),
                f'control = "{control}"',
                "[fault_tolerance]",
                "machines = 0",
                "[limits]",
                f"memory_mb = {MEMORY_MB}",
                f"max_fds = {MAX_DESCRIPTORS}",
                "",
            )
        )

    def start(self) -> None:
        """Start the process and wait until it answers at all addresses."""
        self.process.start()

        def is_started() -> bool:
            self.process.check_running()
            return "event=node_started" in self.process.read_output()

        wait_for(is_started, START_TIMEOUT_S, "the node to start")

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        release_ports(self.ports)

    def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] = MappingProxyType({}),
    ) -> int:
        """Return the status of an ordinary request on a new connection.

        A connection that ends without an answer is opened again, as clients do.
        """
        deadline_s = time.monotonic() + ANSWER_TIMEOUT_S
        while True:
            connection = http.client.HTTPConnection(
                *self.addresses[address], timeout=ANSWER_TIMEOUT_S
            )
            try:
                connection.request(method, path, body or None, dict(headers))
                answer = connection.getresponse()
                answer.read()
                return answer.status
            except (OSError, http.client.HTTPException):
                if time.monotonic() >= deadline_s:
                    raise
                time.sleep(0.1)
            finally:
                connection.close()

    def watch(self) -> None:
        """Record the number of open descriptors; fail if the process has ended."""
        self.process.check_running()
        count = len(os.listdir(f"/proc/{self.process.popen.pid}/fd"))
        self.max_descriptors = max(self.max_descriptors, count)


class NodeCase(testtools.TestCase):
    """Base of tests of one node's process."""

    def start_node(self) -> NodeProcess:
        """Return a started node; it is killed when the test ends."""
        folder = tempfile.TemporaryDirectory(prefix="laburnumpitch-robustness-")
        self.addCleanup(folder.cleanup)
        node = NodeProcess(Path(folder.name))
        self.addCleanup(node.close)
        node.start()
        return node

    def check_bounds(self, node: NodeProcess) -> None:
        """Check that the node lives within its machine's memory and descriptors."""
        node.watch()
        peak_mb = node.process.get_peak_rss_bytes() / KB / KB
        rss_mb = node.process.get_rss_bytes() / KB / KB
        figures = f"peak {peak_mb:.0f} MB, now {rss_mb:.0f} MB, descriptors "
        print(f"{self.id()}: {figures}{node.max_descriptors}", flush=True)
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(node.max_descriptors, MAX_DESCRIPTORS)
