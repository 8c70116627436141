"""Limits of an HTTP server on the size of requests and on the time of clients."""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEADER_BYTES = 16 * 1024
"""Maximum size of request line and headers."""

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Maximum size of a request's body."""

IDLE_TIMEOUT_S = 75.0
"""Timeout of waiting for the next request on a connection."""

HEADER_TIMEOUT_S = 30.0
"""Timeout of a request's headers, from their first byte."""


@dataclass(frozen=True)
class ServerLimits:
    """Limits on the size of requests and on the time that clients take."""

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = MAX_BODY_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S

    def get_highest(self, other: ServerLimits) -> ServerLimits:
        """Return the higher value of each limit."""
        return ServerLimits(
            max(self.header_bytes, other.header_bytes),
            max(self.body_bytes, other.body_bytes),
            max(self.header_timeout_s, other.header_timeout_s),
            max(self.idle_timeout_s, other.idle_timeout_s),
        )
