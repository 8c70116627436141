"""Logs how connections end that may leave a request without an answer."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ..logging import get_logger

LOG_INTERVAL_S = 10.0
"""Interval in which the lines of one kind are bounded."""

MAX_LINES_PER_INTERVAL = 10
"""Maximum number of lines of one kind; further ones are only counted."""


class ConnectionPhase(StrEnum):
    """What a connection waits for; a timeout is named after it."""

    IDLE = "idle"
    """The first bytes of a request."""
    HEADER = "header"
    BODY = "body"
    ANSWER = "answer"
    CLOSING = "closing"
    """The client to read what was written."""


@dataclass
class LineBudget:
    """Lines of one kind in the current interval."""

    started_s: float
    lines: int = 0
    suppressed: int = 0
    """Lines that were left out since the last one that was written."""


class LineLimiter:
    """Bounds the rate of log lines of each kind.

    Args:
        get_time_s: Returns the monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float] = time.monotonic) -> None:
        self.get_time_s = get_time_s
        self.budgets: dict[tuple[str, str], LineBudget] = {}

    def take(self, kind: tuple[str, str]) -> int | None:
        """Return the number of lines left out before a line, or None to leave it out.

        Args:
            kind: Event and cause.
        """
        now_s = self.get_time_s()
        budget = self.budgets.setdefault(kind, LineBudget(now_s))
        if now_s - budget.started_s >= LOG_INTERVAL_S:
            budget.started_s = now_s
            budget.lines = 0
        if budget.lines >= MAX_LINES_PER_INTERVAL:
            budget.suppressed += 1
            return None
        budget.lines += 1
        suppressed, budget.suppressed = budget.suppressed, 0
        return suppressed


class ConnectionLog:
    """Logs timeouts and unanswered requests, at a bounded rate for each kind.

    Args:
        get_time_s: Returns the monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float] = time.monotonic) -> None:
        self.get_time_s = get_time_s
        self.log = get_logger()
        self.line_limiter = LineLimiter(get_time_s)
        self.idle_closes = 0
        """Connections that were closed after an idle timeout without any data."""

    def record_timeout(
        self, phase: ConnectionPhase, last_received_s: float, unread_bytes: int
    ) -> None:
        """Record that a connection is closed by a timeout.

        Args:
            phase: What the connection waited for.
            last_received_s: Monotonic time at which data arrived last.
            unread_bytes: Bytes that had arrived and were not read.
        """
        if phase is ConnectionPhase.IDLE and not unread_bytes:
            self.idle_closes += 1
            return
        suppressed = self.line_limiter.take(("connection_timed_out", phase))
        if suppressed is None:
            return
        self.log.info(
            "connection_timed_out",
            timeout=str(phase),
            idle_ms=round((self.get_time_s() - last_received_s) * 1000),
            unread_bytes=unread_bytes,
            idle_closes=self.idle_closes,
            suppressed=suppressed,
        )

    def record_unanswered(
        self, cause: str, sent_bytes: int, has_disconnected: bool
    ) -> None:
        """Record that a whole request got no complete answer.

        Args:
            cause: Name of the error, or of what else ended the connection.
            sent_bytes: Bytes of the answer that were handed to the socket.
            has_disconnected: Whether the client had closed the connection.
        """
        kind = ("request_unanswered", f"{cause} {has_disconnected}")
        suppressed = self.line_limiter.take(kind)
        if suppressed is None:
            return
        self.log.info(
            "request_unanswered",
            cause=cause,
            sent_bytes=sent_bytes,
            has_disconnected=has_disconnected,
            suppressed=suppressed,
        )
