"""Sends notices to the leader in the background."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from .._tasks import start_task
from ..errors import LaburnumpitchError
from ..fleet.leader_client import LeaderClient
from ..logging import get_logger
from ..transport.codec import Message

NOTICE_TIMEOUT_S = 1.5
"""Timeout of sending a notice to the leader."""


class LeaderNotices:
    """Notices that may be lost.

    Args:
        leader_client: Finds and calls the leader.
    """

    def __init__(self, leader_client: LeaderClient) -> None:
        self.leader_client = leader_client
        self.tasks: set[asyncio.Task[Any]] = set()
        self.log = get_logger()

    def close(self) -> None:
        """Cancel pending notices."""
        for task in list(self.tasks):
            task.cancel()

    def start(self, notice: Message) -> None:
        """Send a notice in the background."""
        self.start_task(self.send(notice))

    def start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run what sends a notice in the background."""
        task = start_task("leader_notice", coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, notice: Message) -> bool:
        """Send a notice; return whether the leader has it."""
        try:
            await self.leader_client.call(notice, NOTICE_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.log.info(
                "notice_untold", notice=type(notice).__name__, code=error.code
            )
            return False
        return True
