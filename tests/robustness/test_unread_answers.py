"""Large answers, and answers without end, to clients that read slowly or not at all."""

from __future__ import annotations

import json
import selectors
import socket
import time

from harness.hostile_clients import Flood, FloodRun, make_request
from harness.process import wait_for

from .large_target import CONFIGURATION, LargeTarget
from .node_process import ANSWER_TIMEOUT_S, HOST, NodeCase, NodeProcess

RUNS_ALONE = True
"""The runner runs this module apart from other load."""

LARGE_BYTES = 4 * 1024 * 1024
READ_BYTES = 16 * 1024
READ_INTERVAL_S = 0.01
"""Pause of a slow client after each read: at most some 1.5 MB/s."""

SLOW_CLIENTS = 16
READ_TIMEOUT_S = 60.0
"""Time in which slow clients have their answers; far more than they need."""

TARGET_TIMEOUT_S = 20.0


def make_relayed_request(path: str) -> bytes:
    """Return a request that is relayed to the target."""
    header = f"Host: {HOST}\r\nAttempt-Id: a1\r\nDeadline-Ms: 60000\r\n".encode()
    return make_request("GET", path, header).replace(b"Host: a\r\n", b"")


FLOODS = {
    "large_answers": Flood("clients", make_relayed_request(f"/read/{LARGE_BYTES}")),
    "endless_answers": Flood("clients", make_relayed_request("/read/endless")),
    "endless_streams": Flood("clients", make_relayed_request("/stream/x")),
    "many_streams": Flood(
        "clients", make_relayed_request("/stream/x"), connections=120
    ),
}


class RelayingNodeCase(NodeCase):
    """Base of tests of a node that relays requests to one target."""

    def start_relaying_node(self) -> NodeProcess:
        """Return a node with a configuration and a target."""
        node = self.start_node()
        body = json.dumps(CONFIGURATION).encode()
        wait_for(
            lambda: node.request("control", "PUT", "/-/configuration", body) == 200,
            TARGET_TIMEOUT_S,
            "the configuration",
        )
        target = LargeTarget(node)
        self.addCleanup(target.close)
        target.start()
        self.wait_for_target(node)
        return node

    def wait_for_target(self, node: NodeProcess) -> None:
        """Wait until a small request is answered by the target."""
        wait_for(
            lambda: node.request("clients", "GET", "/read/10", headers=ORDINARY) == 200,
            ANSWER_TIMEOUT_S,
            "an ordinary answer of the target",
        )


ORDINARY = {"Host": HOST, "Attempt-Id": "a2", "Deadline-Ms": "5000"}


class UnreadAnswerTest(RelayingNodeCase):
    """Clients that read nothing of their answers."""

    scenarios = [(name, {"flood": flood}) for name, flood in FLOODS.items()]

    def test_node_stays_within_its_machine(self) -> None:
        """The node lives within its memory, and relays ordinary requests then."""
        node = self.start_relaying_node()
        run = FloodRun(self.flood, node.addresses[self.flood.address])
        self.addCleanup(run.close)
        run.run(node.watch)
        ends_s = time.monotonic() + self.flood.max_s
        while time.monotonic() < ends_s:
            node.watch()
            time.sleep(0.1)
        self.wait_for_target(node)
        self.check_bounds(node)


class SlowReaderTest(RelayingNodeCase):
    """Proper clients that read large answers slowly, more than the budget holds."""

    def test_answers_are_whole(self) -> None:
        """Each gets its whole answer, and the node stays within its memory."""
        node = self.start_relaying_node()
        selector = selectors.DefaultSelector()
        received: dict[socket.socket, int] = {}
        for _ in range(SLOW_CLIENTS):
            client = socket.create_connection(node.addresses["clients"])
            self.addCleanup(client.close)
            client.sendall(make_relayed_request(f"/read/{LARGE_BYTES}"))
            client.setblocking(False)
            selector.register(client, selectors.EVENT_READ)
            received[client] = 0
        deadline_s = time.monotonic() + READ_TIMEOUT_S
        while min(received.values()) < LARGE_BYTES and time.monotonic() < deadline_s:
            ended = [
                client
                for client in (key.fileobj for key, _ in selector.select(0.1))
                if not self.read_part(client, received)
            ]
            for client in ended:
                selector.unregister(client)
            if not selector.get_map():
                break
            node.watch()
            time.sleep(READ_INTERVAL_S)
        whole = sum(size >= LARGE_BYTES for size in received.values())
        self.wait_for_target(node)
        self.check_bounds(node)
        self.assertEqual(SLOW_CLIENTS, whole)

    def read_part(self, client: socket.socket, received: dict) -> bool:
        """Read a part of an answer; return whether the connection is open."""
        try:
            data = client.recv(READ_BYTES)
        except OSError:
            return False
        received[client] += len(data)
        return bool(data)
