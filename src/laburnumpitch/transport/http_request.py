"""A request that an HTTP server has read."""

from __future__ import annotations

from dataclasses import dataclass

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class HttpRequest:
    """A request with its complete body."""

    method: str
    path: str
    """Path without the query."""
    query: str
    headers: Headers
    """Names in lower case."""
    body: bytes
    received_at_s: float = 0.0
    """Monotonic time at which the headers were read."""

    def get_header(self, name: str) -> str:
        """Return the value of the first header of a name; empty without one."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return ""
