"""Logs events as key=value lines with timestamps of the hybrid logical clock."""

from __future__ import annotations

import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

import structlog

from .clock import HybridLogicalClock

CLOCK = HybridLogicalClock()
"""Clock of this process, for log lines and messages to other processes."""


def add_timestamp(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Add a timestamp of the hybrid logical clock to an event."""
    event["hlc"] = CLOCK.tick()
    return event


def configure_logging(
    node_id: str, path: str = "", stream: TextIO | None = None
) -> TextIO:
    """Write the events of this process to a file or a stream.

    Args:
        node_id: Identifier of this process, written to each line.
        path: File to append to; if empty, `stream` is used.
        stream: Stream for the lines if there is no file; standard error by default.

    Returns:
        The open file or stream, which the caller closes after the last event.
    """
    if path:
        stream = open(path, "a", buffering=1)
    stream = stream or sys.stderr
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            add_timestamp,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["hlc", "level", "event", "node"], bool_as_flag=False
            ),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(node=node_id)
    return stream


def get_logger() -> Any:
    """Return the logger of this process."""
    return structlog.get_logger()
