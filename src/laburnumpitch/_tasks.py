"""Helpers for background tasks."""

from __future__ import annotations

import asyncio
from typing import Any


async def cancel_and_wait(*tasks: asyncio.Task[Any] | None) -> None:
    """Cancel tasks and wait until they have ended; ignore their exceptions."""
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
