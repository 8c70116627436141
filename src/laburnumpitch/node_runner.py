"""Runs a node until a signal stops it."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable
from typing import Protocol

from .logging import get_logger

GARBAGE_COLLECTION_THRESHOLDS = (5_000, 20, 20)
"""Objects made since the last collection, and collections of each younger generation,
after which a generation is collected."""


class RunnableNode(Protocol):
    """A node with a start, a drain and a close phase."""

    async def start(self) -> None:
        """Start all components."""

    async def drain(self) -> None:
        """Accept nothing new and wait for the requests in flight."""

    async def close(self) -> None:
        """Stop all components."""


def reduce_garbage_collection() -> None:
    """Leave what was made at the start out of collections, and make them rarer."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_COLLECTION_THRESHOLDS)


async def run_until_stopped(
    make_node: Callable[[], RunnableNode],
    on_reload: Callable[[RunnableNode], None] | None = None,
) -> int:
    """Run a node; the first stop signal drains it, a second one ends the drain.

    Args:
        make_node: Returns the node.
        on_reload: Called on SIGHUP, after a change of the settings file.
    """
    node = make_node()
    stop = asyncio.Event()
    force_stop = asyncio.Event()

    def on_signal() -> None:
        (force_stop if stop.is_set() else stop).set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    if on_reload is not None:
        loop.add_signal_handler(signal.SIGHUP, on_reload, node)
    await node.start()
    reduce_garbage_collection()
    await stop.wait()
    get_logger().info("stop_requested")
    drain_task = asyncio.create_task(node.drain())
    force_stop_task = asyncio.create_task(force_stop.wait())
    await asyncio.wait(
        {drain_task, force_stop_task}, return_when=asyncio.FIRST_COMPLETED
    )
    drain_task.cancel()
    force_stop_task.cancel()
    await node.close()
    return 0
