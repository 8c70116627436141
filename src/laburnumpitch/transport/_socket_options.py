"""Options of the ZeroMQ sockets between processes."""

from __future__ import annotations

import zmq

from .codec import MAX_MESSAGE_BYTES

HEARTBEAT_INTERVAL_MS = 500
"""Interval of ZeroMQ's heartbeats, which detect connections that broke unnoticed. Only
the connecting end sends them; the other end answers."""

HEARTBEAT_TIMEOUT_MS = 1500
"""Time without data after which either end closes a connection; the connecting end
reconnects."""

CONNECT_TIMEOUT_MS = 600
"""Timeout of connecting, needed since a host that is down does not answer at all."""

RECONNECT_INTERVAL_MS = 50
"""First pause before reconnecting; grows up to `RECONNECT_INTERVAL_MAX_MS`."""

RECONNECT_INTERVAL_MAX_MS = 500
"""Longest pause before reconnecting."""

MAX_QUEUED_MESSAGES = 1000
"""Maximum number of messages queued on a connection; further ones are dropped."""


def configure_socket(socket: zmq.Socket) -> None:
    """Set the socket options that clients and servers share."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)


def configure_client_socket(socket: zmq.Socket) -> None:
    """Set the socket options of a client, which finds connections that broke."""
    configure_socket(socket)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    # The server closes the connection after this time without a heartbeat.
    socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS)
