"""Finds the control leader and sends it requests until a deadline."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from ..errors import ControlUnavailableError, NotLeaderError, RpcTimeoutError
from ..transport.rpc import RpcPool

ATTEMPT_TIMEOUT_S = 0.8
"""Time for one replica to answer before another one is asked."""

LEADER_POLL_INTERVAL_S = 0.1
"""Interval at which a waiting request looks whether another one found a new
leader."""

RETRY_DELAY_S = 0.05
"""Pause after a replica that does not lead, while an election may run."""


class ControlClient:
    """Sends requests to whichever control replica leads.

    Requests may reach a replica more than once; all of them are idempotent.

    Args:
        pool: Connections to other processes.
        addresses: Address of each control replica by name.
    """

    def __init__(self, pool: RpcPool, addresses: dict[str, str]) -> None:
        self.pool = pool
        self.addresses = addresses
        self.replica_names = list(addresses)
        self.leader_name = self.replica_names[0]

    async def call(
        self,
        request: Any,
        timeout_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> Any:
        """Send a request to the leader and return its answer.

        Args:
            request: An idempotent message.
            timeout_s: Seconds for all attempts together.
            attempt_s: Seconds for one replica to answer.

        Raises:
            ControlUnavailableError: If no leader answered; the outcome of a
                command is then unknown.
            LaburnumpitchError: The failure that the leader answered.
        """
        deadline_s = time.monotonic() + timeout_s
        while True:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise ControlUnavailableError("no control leader answered in time")
            replica_name = self.leader_name
            try:
                return await self.call_replica(
                    replica_name, request, min(attempt_timeout_s, remaining_s)
                )
            except NotLeaderError as error:
                self.update_leader(replica_name, error.detail)
                await asyncio.sleep(RETRY_DELAY_S)
            except (RpcTimeoutError, ControlUnavailableError):
                self.update_leader(replica_name, "")
                await asyncio.sleep(RETRY_DELAY_S)

    async def call_replica(
        self, replica_name: str, request: Any, timeout_s: float
    ) -> Any:
        """Ask one replica, until another request has found a new leader.

        Raises:
            RpcTimeoutError: If it did not answer in time, or no longer leads.
        """
        client = self.pool.get(self.addresses[replica_name])
        call_task = asyncio.create_task(client.call(request, timeout_s))
        try:
            while self.leader_name == replica_name:
                done, _ = await asyncio.wait(
                    {call_task}, timeout=LEADER_POLL_INTERVAL_S
                )
                if done:
                    return call_task.result()
            raise RpcTimeoutError(f"{replica_name} no longer leads")
        finally:
            call_task.cancel()

    def update_leader(self, called_name: str, hint: str) -> None:
        """Choose the replica to ask next."""
        if self.leader_name != called_name:
            return
        if hint in self.addresses and hint != called_name:
            self.leader_name = hint
        else:
            position = self.replica_names.index(called_name)
            self.leader_name = self.replica_names[
                (position + 1) % len(self.replica_names)
            ]
