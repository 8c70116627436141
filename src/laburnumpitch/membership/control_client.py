"""Client of the control leader, which retries until a deadline."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from ..errors import ControlUnavailableError, NotLeaderError, RpcTimeoutError
from ..transport.rpc import RpcPool

ATTEMPT_TIMEOUT_S = 0.8
"""Time for one replica to answer before the next one is tried."""

RETRY_DELAY_S = 0.05
"""Delay after a replica did not answer or was not the leader, since an election may
be in progress."""


class ControlClient:
    """Sends requests to the control replica that leads.

    A request may reach replicas more than once, so all requests must be idempotent.

    Args:
        pool: Connections to other processes.
        addresses: Address of each control replica by name.
    """

    def __init__(self, pool: RpcPool, addresses: dict[str, str]) -> None:
        self.pool = pool
        self.addresses = addresses
        self.replica_names = list(addresses)
        self.leader_name = self.replica_names[0]
        """The replica assumed to lead, which is tried first."""
        self.pending_calls: dict[str, set[asyncio.Future[Any]]] = {}
        """Calls that wait for an answer, by the name of the replica."""

    async def call(
        self,
        request: Any,
        timeout_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> Any:
        """Send a request to the leader and return its answer.

        Args:
            request: An idempotent message.
            timeout_s: Time for all attempts together.
            attempt_timeout_s: Time for one replica to answer.

        Raises:
            ControlUnavailableError: If no leader answered in time; the outcome of
                a command is then unknown.
            LaburnumpitchError: The error that the leader returned.
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
        """Send a request to one replica and return its answer.

        Gives up once another request has found a different leader.

        Raises:
            RpcTimeoutError: If the replica did not answer in time, or is no longer
                assumed to lead.
        """
        client = self.pool.get(self.addresses[replica_name])
        call = client.start_call(request, timeout_s)
        calls = self.pending_calls.setdefault(replica_name, set())
        calls.add(call)
        try:
            return await call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise RpcTimeoutError(
                f"control replica {replica_name} no longer leads"
            ) from None
        finally:
            calls.discard(call)
            # The future keeps its error, and the error's traceback this frame with the
            # request, which may be large.
            del call

    def set_leader(self, name: str) -> None:
        """Assume that another replica leads; calls to the former one are given up."""
        former_name, self.leader_name = self.leader_name, name
        if former_name == name:
            return
        for call in list(self.pending_calls.get(former_name, ())):
            call.cancel()

    def update_leader(self, called_name: str, hint: str) -> None:
        """Choose the replica to try next.

        Does nothing if another request has already chosen a different one.

        Args:
            called_name: The replica that did not answer as the leader.
            hint: The leader that this replica named, or an empty string. If it is
                unusable, the next replica in order is chosen.
        """
        if self.leader_name != called_name:
            return
        if hint in self.addresses and hint != called_name:
            self.set_leader(hint)
        else:
            position = self.replica_names.index(called_name)
            next_position = (position + 1) % len(self.replica_names)
            self.set_leader(self.replica_names[next_position])
