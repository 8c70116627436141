"""Background tasks that outlive unexpected errors, and helpers for them.

A task that serves many must not end, let alone in silence, at one odd value that it
was not written for. Such an error is logged with its traceback, counted, and contained.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from .logging import get_logger

RESTART_PAUSE_S = 0.5
"""Pause before a loop that failed goes on."""

LOG_INTERVAL_S = 10.0
"""Least time between two log lines with a traceback of the same task; errors between
them are counted."""


@dataclass
class TaskFailures:
    """Unexpected errors of this process's background tasks."""

    get_time_s: Callable[[], float] = time.monotonic
    counts: dict[str, int] = field(default_factory=dict)
    """Errors by the name of the task."""
    omitted: dict[str, int] = field(default_factory=dict)
    """Errors since the last log line, by the name of the task."""
    logged_s: dict[str, float] = field(default_factory=dict)
    """Time of the last log line, by the name of the task."""

    @property
    def total(self) -> int:
        """Number of errors of all tasks."""
        return sum(self.counts.values())

    def record(self, name: str, error: BaseException) -> None:
        """Count an error of a task, and log it at a limited rate."""
        self.counts[name] = self.counts.get(name, 0) + 1
        now_s = self.get_time_s()
        if now_s < self.logged_s.get(name, float("-inf")) + LOG_INTERVAL_S:
            self.omitted[name] = self.omitted.get(name, 0) + 1
            return
        self.logged_s[name] = now_s
        log = get_logger()
        log.error(
            "task_failed",
            exc_info=error,
            task=name,
            errors=self.counts[name],
            omitted=self.omitted.pop(name, 0),
        )


TASK_FAILURES = TaskFailures()
"""The errors of this process."""


@contextmanager
def contain_errors(name: str) -> Iterator[None]:
    """Log and count an unexpected error of a part of a task, and go on after it.

    Args:
        name: Name of the task.
    """
    try:
        yield
    except Exception as error:
        TASK_FAILURES.record(name, error)


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a loop, and again after a pause if it fails, until it returns.

    Args:
        name: Name of the task.
        run: The loop. It must be able to start again at any of its errors.
    """
    while True:
        with contain_errors(name):
            await run()
            return
        await asyncio.sleep(RESTART_PAUSE_S)


def start_loop(name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start the task of a loop that `keep_running` runs."""
    return asyncio.create_task(keep_running(name, run))


def start_task(name: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task that runs once; an unexpected error is logged and counted."""
    task = asyncio.create_task(work)
    task.add_done_callback(partial(record_end, name))
    return task


def record_end(name: str, task: asyncio.Task[Any]) -> None:
    """Record the error that a task has ended with, if any."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        TASK_FAILURES.record(name, error)


async def cancel_and_wait(*tasks: asyncio.Task[Any] | None) -> None:
    """Cancel tasks and wait until they have ended; ignore their exceptions."""
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
