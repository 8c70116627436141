"""Commits commands through whichever control replica leads."""

from __future__ import annotations

from typing import Any

from ..transport.codec import encode
from .control_client import ControlClient
from .messages import ProposeCall


class Proposer(ControlClient):
    """Sends commands for the replicated log, beside other requests."""

    async def propose(self, command: Any, timeout_s: float) -> Any:
        """Commit a command and return its result.

        Raises:
            ControlUnavailableError: If the outcome is unknown.
        """
        return await self.call(ProposeCall(encode(command)), timeout_s)
