"""Tests of the client of the control leader."""

from __future__ import annotations

import asyncio

import testtools

from laburnumpitch.errors import RpcTimeoutError
from laburnumpitch.membership.control_client import ControlClient
from laburnumpitch.membership.messages import Flag

UNUSED_TIMEOUT_S = 3600.0
"""Timeout that no test may reach."""


class Replica:
    """A replica whose calls run as tasks."""

    def start_call(self, request, timeout_s: float) -> asyncio.Future:
        """Return the future of a call's answer."""
        return asyncio.ensure_future(self.call(request, timeout_s))


class UnresponsiveReplica(Replica):
    """A replica that never answers, like a frozen or partitioned one."""

    async def call(self, request, timeout_s: float):
        """Wait for the timeout."""
        await asyncio.sleep(timeout_s)
        raise RpcTimeoutError("no answer")


class LeaderReplica(Replica):
    """A leader that answers at once."""

    async def call(self, request, timeout_s: float):
        """Return a result."""
        return Flag(1)


class ControlClientTest(testtools.TestCase):
    """Requests that are pending when the leader fails."""

    def test_pending_request_is_sent_to_new_leader(self) -> None:
        """A pending request is sent to a new leader that another request has found."""
        pool = {"1": UnresponsiveReplica(), "2": LeaderReplica()}
        client = ControlClient(pool, {"a": "1", "b": "2"})

        async def scenario() -> list[Flag]:
            pending = asyncio.create_task(
                client.call(Flag(0), UNUSED_TIMEOUT_S, UNUSED_TIMEOUT_S)
            )
            await asyncio.sleep(0)
            other = await client.call(Flag(0), UNUSED_TIMEOUT_S, 0.01)
            return [other, await pending]

        self.assertEqual([Flag(1), Flag(1)], asyncio.run(scenario()))
