"""A target in threads of the test, whose answers are large or have no end."""

from __future__ import annotations

import contextlib
import http.client
import json
import re
import socket
import threading
import time

from .node_process import HOST, NodeProcess

SERVICE = "shop"
ANNOUNCE_INTERVAL_S = 0.4
PART = b"x" * 64 * 1024
CHUNKED_PART = b"%x\r\n" % len(PART) + PART + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
SLOTS = 200

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "route_type": kind,
            "timeout_ms": 60_000,
            "target_latency_ms": 20_000,
            "gap_target_ms": 20_000,
            "service": SERVICE,
        }
        for name, kind in (("read", "idempotent"), ("stream", "streaming"))
    ],
    "services": [{"name": SERVICE}],
}


class LargeTarget:
    """Answers `/read/N` with N bytes, and `/stream/x` and `/read/endless` without end.

    Args:
        node: The node to which it announces itself.
        target_id: Its identifier.
        service: Its service.
    """

    def __init__(
        self, node: NodeProcess, target_id: str = "t0", service: str = SERVICE
    ) -> None:
        self.node = node
        self.target_id = target_id
        self.service = service
        self.listener = socket.create_server((HOST, 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.is_closed = False
        self.models: list[dict] = []
        """Models that it announces, with their weight versions."""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.sent_bytes = 0
        """Bytes of all answers that the node has taken."""

    def start(self) -> None:
        """Accept connections, and announce the target until it is closed."""
        for work in (self.accept, self.announce_repeatedly):
            threading.Thread(target=work, daemon=True).start()

    def close(self) -> None:
        """Stop announcing and accepting."""
        self.is_closed = True
        self.listener.close()

    def announce_repeatedly(self) -> None:
        """Announce the target until it is closed."""
        while not self.is_closed:
            with contextlib.suppress(OSError, http.client.HTTPException):
                self.announce()
            time.sleep(ANNOUNCE_INTERVAL_S)

    def announce(self) -> None:
        """Announce the target once."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "dc",
            "state": "ready",
            "slots": SLOTS,
            "sequence": self.sequence,
            "born": self.born_ms,
            "version": "v1",
            "models": self.models,
        }
        connection = http.client.HTTPConnection(
            *self.node.addresses["control"], timeout=2.0
        )
        path = f"/-/instances/{self.target_id}"
        connection.request("PUT", path, json.dumps(body))
        connection.getresponse().read()
        connection.close()

    def accept(self) -> None:
        """Answer the requests of each connection in a thread of its own."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self.serve, args=(connection,), daemon=True
                ).start()

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of one connection."""
        with contextlib.suppress(OSError), connection:
            received = b""
            while data := connection.recv(65536):
                received += data
                while b"\r\n\r\n" in received:
                    head, _, received = received.partition(b"\r\n\r\n")
                    self.answer(connection, head)

    def answer(self, connection: socket.socket, head: bytes) -> None:
        """Send an answer."""
        attempt = re.search(rb"(?im)^attempt-id: *(\S+)", head)[1]
        size = re.search(rb" /read/(\d+)", head)
        start = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: " + attempt
        if size is None:
            self.send(connection, start + b"\r\n" + CHUNKED + b"\r\n")
            while not self.is_closed:
                self.send(connection, CHUNKED_PART)
            return
        body = b"x" * int(size[1])
        self.send(connection, start + b"\r\nContent-Length: " + size[1] + b"\r\n\r\n")
        for position in range(0, len(body), len(PART)):
            self.send(connection, body[position : position + len(PART)])

    def send(self, connection: socket.socket, data: bytes) -> None:
        """Send data and count it."""
        connection.sendall(data)
        self.sent_bytes += len(data)
