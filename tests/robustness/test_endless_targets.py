"""Targets that send bytes without end, to each call of a node: in heads and in bodies.

Guards against a node that keeps them all and runs out of memory.
"""

from __future__ import annotations

import contextlib
import json
import re
import socket
import time

from harness.hostile_clients import Flood, FloodRun
from harness.process import wait_for

from .large_target import CONFIGURATION, SERVICE, LargeTarget
from .node_process import HOST, NodeCase, NodeProcess
from .test_unread_answers import ORDINARY, TARGET_TIMEOUT_S, make_relayed_request

RUNS_ALONE = True
"""The runner runs this module apart from other load."""

CLIENTS = 80
"""Clients that wait for their answers at the same time; the descriptors of the machine
leave room for some 100 connections of clients."""

CALLS_S = 6.0
"""Time in which the node calls the targets for reports, health and listings."""

MODELS = "models"
MODEL = "m"
ENGINE = {
    "slots": 200,
    "kv_capacity": 100_000,
    "kv_bytes": 18_432,
    "link_mbps": 88_000.0,
    "models": [{"name": MODEL}],
}
SEALED = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: %s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LARGE_ERROR_BYTES = 7 * 1024 * 1024

KINDS = {
    "head_line": (SEALED + b"x: ", b"y" * 65536),
    "head_lines": (SEALED, b"x: y\r\n" * 8192),
    "informational_heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048),
    "no_answer": (b"", b"\x00\xff" * 32768),
    "body_to_the_close": (SEALED + b"\r\n", b"x" * 65536),
    "chunks": (SEALED + CHUNKED + b"\r\n", b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "small_chunks": (SEALED + CHUNKED + b"\r\n", b"1\r\nx\r\n" * 8192),
    "huge_length": (SEALED + b"Content-Length: 99999999999\r\n\r\n", b"x" * 65536),
    "chunk_extension": (SEALED + CHUNKED + b"\r\n1;", b"x" * 65536),
    "trailers": (SEALED + CHUNKED + b"\r\n0\r\n", b"x: y\r\n" * 8192),
    "events": (SEALED + CHUNKED + b"\r\n", b"7\r\nid: 1\n\n\r\n" * 4096),
    "event": (SEALED + CHUNKED + b"\r\n", b"10000\r\n" + b"data: xx" * 8192 + b"\r\n"),
    "large_error": (
        SEALED.replace(b"200 OK", b"500 Failed")
        + b"Content-Length: %d\r\n\r\n" % LARGE_ERROR_BYTES
        + b"x" * LARGE_ERROR_BYTES,
        b"",
    ),
    "silence": (b"", b""),
}
"""What an answer begins with, and what comes over and over after it."""

PATHS = ("/read/endless", "/stream/x", "/once/x", "/prompt/x")
"""Requests that are repeated, streamed, sent once, and that have a prompt."""

PAIRS = (
    ("head_line", "informational_heads"),
    ("head_lines", "no_answer"),
    ("body_to_the_close", "chunks"),
    ("small_chunks", "events"),
    ("huge_length", "event"),
    ("chunk_extension", "trailers"),
    ("large_error", "silence"),
)
"""Kinds of the two targets of each service."""


class EndlessTarget(LargeTarget):
    """Answers `/read/N` with N bytes, and all else without end.

    Args:
        node: The node to which it announces itself.
        answer: What an answer begins with, and what goes on without end.
        number: Number of the target.
        service: Its service.
    """

    def __init__(
        self,
        node: NodeProcess,
        answer: tuple[bytes, bytes],
        number: int,
        service: str,
    ) -> None:
        super().__init__(node, f"t{number}", service)
        self.answer_parts = answer
        if service == MODELS:
            self.models = [{"name": MODEL, "version": 1}]
        self.calls: set[bytes] = set()
        """Paths that were called."""

    def answer(self, connection: socket.socket, head: bytes) -> None:
        """Send an answer."""
        path = head.split(b" ", 2)[1]
        self.calls.add(path)
        if re.fullmatch(rb"/read/\d+", path):
            super().answer(connection, head)
            return
        found = re.search(rb"(?im)^attempt-id: *(\S+)", head)
        first, part = self.answer_parts
        attempt = found[1] if found else b"-"
        self.send(connection, first.replace(b"%s", attempt))
        while part and not self.is_closed:
            self.send(connection, part)


class EndlessTargetTest(NodeCase):
    """Clients, and the node itself, call targets that never stop sending."""

    scenarios = [
        ("_and_".join(pair), {"kinds": pair, "paths": PATHS}) for pair in PAIRS
    ]
    scenarios.append(
        ("kept_errors", {"kinds": ("large_error", "silence"), "paths": PATHS[:1]})
    )

    def start_targets(self, node: NodeProcess) -> list[EndlessTarget]:
        """Start two targets of each service, and put a configuration with a store."""
        targets = [
            EndlessTarget(node, KINDS[self.kinds[number % 2]], number, service)
            for number, service in enumerate((SERVICE, SERVICE, MODELS, MODELS))
        ]
        for target in targets:
            self.addCleanup(target.close)
        routes = [route | {"max_attempts": 2} for route in CONFIGURATION["routes"]]
        for name, kind, service in (
            ("once", "non_idempotent", SERVICE),
            ("prompt", "streaming", MODELS),
        ):
            route = {"name": name, "path_prefix": f"/{name}/", "route_type": kind}
            routes.append(routes[0] | route | {"service": service, "resumable": False})
        routes[-1] |= {"sticky": True, "resumable": True}
        store = {
            "name": "store",
            "kv_store_addr": f"{HOST}:{targets[2].port}",
            "kv_capacity": 100_000,
            "link_mbps": 88_000.0,
            "managed": True,
        }
        services = [{"name": SERVICE}, {"name": MODELS, "engine": ENGINE}, store]
        document = CONFIGURATION | {"routes": routes, "services": services}
        body = json.dumps(document).encode()
        wait_for(
            lambda: node.request("control", "PUT", "/-/configuration", body) == 200,
            TARGET_TIMEOUT_S,
            "the configuration",
        )
        for target in targets:
            target.start()
        self.wait_for_target(node)
        return targets

    def wait_for_target(self, node: NodeProcess) -> None:
        """Wait until an ordinary request is answered."""
        wait_for(
            lambda: node.request("clients", "GET", "/read/10", headers=ORDINARY) == 200,
            TARGET_TIMEOUT_S,
            "an ordinary answer of a target",
        )

    def test_node_stays_within_its_machine(self) -> None:
        """The node lives within its memory, and relays ordinary requests then."""
        node = self.start_node()
        targets = self.start_targets(node)
        weights = json.dumps({"model": MODEL, "version": 2}).encode()
        status = node.request("control", "POST", "/-/version-put", weights)
        self.assertEqual(200, status)
        floods = []
        for path in self.paths:
            request = make_relayed_request(path)
            count = CLIENTS // len(self.paths)
            flood = Flood("clients", request, connections=count, max_s=0.5)
            floods.append(FloodRun(flood, node.addresses["clients"]))
            self.addCleanup(floods[-1].close)
        for flood in floods:
            flood.run(node.watch)
        ends_s = time.monotonic() + CALLS_S
        while time.monotonic() < ends_s:
            for flood in floods:
                for connection in flood.connections:
                    with contextlib.suppress(OSError):
                        connection.socket.recv(65536)
            node.watch()
            time.sleep(0.05)
        called = set().union(*(target.calls for target in targets))
        expected = {path.encode() for path in self.paths}
        self.assertLessEqual({b"/-/report", b"/-/kv-list", *expected}, called)
        self.check_bounds(node)
        self.wait_for_target(node)
        self.check_bounds(node)
