"""Clients that stay outside the limits: they send without end, or do not read.

Every flood is bounded in bytes, connections and time, and ends by itself.
"""

from __future__ import annotations

import json
import selectors
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

SEND_BYTES = 256 * 1024
"""Maximum number of bytes in one send."""

PART_BYTES = 64 * 1024
CHUNK = b"%x\r\n" % PART_BYTES + b"x" * PART_BYTES + b"\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 8192
HEADER_LINES = b"x-y: zzzzzzzzzzzzzzzzzzzzzzzz\r\n" * 1024
POLL_INTERVAL_S = 0.05

ZMTP_GREETING = (
    b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
)
ZMTP_READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
ZMTP_MORE = b"\x03" + PART_BYTES.to_bytes(8, "big") + b"x" * PART_BYTES
"""A frame of a message that goes on."""

ZMTP_LARGE = b"\x02" + (60 * 1024 * 1024).to_bytes(8, "big")
"""Head of a frame of 60 MB."""


def make_request(
    method: str, path: str, header: bytes = b"", body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: a\r\n".encode()
    if body:
        header = b"Content-Length: %d\r\n" % len(body) + header
    return head + header + b"\r\n" + body


def make_announcements() -> bytes:
    """Return announcements of many targets, each with many models."""
    models = [{"name": f"model-{n}" * 4, "version": n} for n in range(300)]
    announcements = []
    for number in range(3000):
        announcement = {
            "service": "shop",
            "address": f"127.0.0.1:{20_000 + number}",
            "zone": "dc",
            "state": "ready",
            "slots": 1,
            "sequence": 1,
            "born": 1,
            "version": "v",
            "models": models,
        }
        body = json.dumps(announcement).encode()
        announcements.append(make_request("PUT", f"/-/instances/t{number}", body=body))
    return b"".join(announcements)


@dataclass(frozen=True)
class Flood:
    """What a set of clients sends; they read no answer."""

    address: str
    """Name of the listening address: clients, readiness, control, metrics or rpc."""
    first: bytes = b""
    """Sent once on each connection."""
    part: bytes = b""
    """Sent over and over after it; nothing if empty."""
    connections: int = 40
    max_bytes: int = 512 * 1024 * 1024
    """Bytes that all connections send."""
    max_s: float = 6.0
    """Time after which nothing more is sent."""
    max_reopened: int = 100
    """Connections that are opened again after the server has closed one."""


CHUNKED_HEADER = b"Transfer-Encoding: chunked\r\n"
ANNOUNCED_HEADER = b"Content-Length: 4294967296\r\n"
LARGEST_BODY_BYTES = 4 * 1024 * 1024
READINESS_REQUESTS = make_request("GET", "/-/readyz") * 500
PLAIN_REQUESTS = make_request("GET", "/x") * 500
MEDIUM_BODY = make_request("POST", "/x", body=b"x" * 200_000)
ANNOUNCEMENT = make_request("PUT", "/-/instances/t", body=b" " * 200_000)
CONFIGURATION = make_request("PUT", "/-/configuration", body=b" " * 1_000_000)

FLOODS = {
    "readiness_sent_ahead": Flood("readiness", part=READINESS_REQUESTS),
    "readiness_sent_ahead_few": Flood(
        "readiness", part=READINESS_REQUESTS, connections=8
    ),
    "readiness_path_at_clients": Flood("clients", part=READINESS_REQUESTS),
    "requests_sent_ahead": Flood("clients", part=PLAIN_REQUESTS),
    "chunked_bodies": Flood(
        "clients", make_request("POST", "/x", CHUNKED_HEADER), CHUNK
    ),
    "announced_bodies": Flood(
        "clients", make_request("POST", "/x", ANNOUNCED_HEADER), CHUNK
    ),
    "announced_configuration": Flood(
        "control", make_request("PUT", "/-/configuration", ANNOUNCED_HEADER), CHUNK
    ),
    "medium_bodies_sent_ahead": Flood("clients", part=MEDIUM_BODY),
    "endless_heads": Flood("clients", b"GET / HTTP/1.1\r\n", HEADER_LINES),
    "tiny_chunks": Flood(
        "clients", make_request("POST", "/x", CHUNKED_HEADER), TINY_CHUNKS
    ),
    "endless_trailers": Flood(
        "clients", make_request("POST", "/x", CHUNKED_HEADER) + b"0\r\n", HEADER_LINES
    ),
    "stalled_largest_bodies": Flood(
        "clients",
        make_request("POST", "/x", body=b"x" * LARGEST_BODY_BYTES)[:-1],
    ),
    "metrics_sent_ahead": Flood("metrics", part=make_request("GET", "/metrics") * 500),
    "announcements_sent_ahead": Flood("control", part=ANNOUNCEMENT),
    "announcements_of_many_targets": Flood(
        "control", make_announcements(), connections=1
    ),
    "configurations_sent_ahead": Flood("control", part=CONFIGURATION),
    "http_at_rpc": Flood("rpc", part=PLAIN_REQUESTS),
    "rpc_endless_message": Flood("rpc", ZMTP_GREETING + ZMTP_READY, ZMTP_MORE),
    "rpc_large_frames": Flood(
        "rpc", ZMTP_GREETING + ZMTP_READY + ZMTP_LARGE, b"x" * PART_BYTES
    ),
    "idle_connections": Flood("clients", connections=600),
    "idle_connections_at_readiness": Flood("readiness", connections=600),
    "heads_begun": Flood(
        "clients", b"GET / HTTP/1.1\r\nx: " + b"y" * 12_000, connections=600
    ),
}
"""The clients, by name."""


@dataclass
class HostileConnection:
    """A connection of a hostile client."""

    socket: socket.socket
    unsent: memoryview


@dataclass
class FloodRun:
    """Sends a flood from this thread.

    Args:
        flood: What is sent.
        address: Host and port to which it is sent.
    """

    flood: Flood
    address: tuple[str, int]
    sent_bytes: int = 0
    reopened: int = 0
    connections: list[HostileConnection] = field(default_factory=list)

    def run(self, on_poll: Callable[[], None] = lambda: None) -> None:
        """Send until a bound is reached; the connections stay open.

        Args:
            on_poll: Called every `POLL_INTERVAL_S`.
        """
        deadline_s = time.monotonic() + self.flood.max_s
        polled_s = 0.0
        self.selector = selectors.DefaultSelector()
        for _ in range(self.flood.connections):
            self.open()
        while time.monotonic() < deadline_s and self.selector.get_map():
            for key, _ in self.selector.select(POLL_INTERVAL_S):
                self.send(key.data)
            if time.monotonic() >= polled_s + POLL_INTERVAL_S:
                polled_s = time.monotonic()
                on_poll()
            if self.sent_bytes >= self.flood.max_bytes:
                break
        self.selector.close()

    def open(self) -> None:
        """Open a connection; one that is refused is left out."""
        client = socket.socket()
        client.settimeout(1.0)
        try:
            client.connect(self.address)
        except OSError:
            client.close()
            return
        client.setblocking(False)
        connection = HostileConnection(client, memoryview(self.flood.first))
        self.connections.append(connection)
        self.selector.register(client, selectors.EVENT_WRITE, connection)

    def send(self, connection: HostileConnection) -> None:
        """Send a part on a connection that takes more."""
        if not connection.unsent:
            if not self.flood.part:
                self.selector.unregister(connection.socket)
                return
            connection.unsent = memoryview(self.flood.part)
        try:
            sent = connection.socket.send(connection.unsent[:SEND_BYTES])
        except BlockingIOError:
            return
        except OSError:
            self.selector.unregister(connection.socket)
            connection.socket.close()
            if self.reopened < self.flood.max_reopened:
                self.reopened += 1
                self.open()
            return
        self.sent_bytes += sent
        connection.unsent = connection.unsent[sent:]

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.socket.close()
