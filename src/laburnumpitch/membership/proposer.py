"""Client that proposes commands to the control leader."""

from __future__ import annotations

from typing import Any

from ..transport.codec import encode
from .control_client import ControlClient
from .messages import ProposeCall


class Proposer(ControlClient):
    """A client of the control leader that also proposes commands for its log."""

    async def propose(self, command: Any, timeout_s: float) -> Any:
        """Propose a command, wait until it is committed and return its result.

        Raises:
            ControlUnavailableError: If the outcome is unknown.
        """
        return await self.call(ProposeCall(encode(command)), timeout_s)
