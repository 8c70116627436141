"""Finding the control leader."""

from __future__ import annotations

import asyncio

import testtools

from laburnumpitch.errors import RpcTimeoutError
from laburnumpitch.membership.control_client import ControlClient
from laburnumpitch.membership.messages import Flag

UNUSED_TIMEOUT_S = 3600.0
"""Time that no test waits."""


class UnresponsiveReplica:
    """A replica that never answers, as one that is frozen or cut off."""

    async def call(self, request, timeout_s: float):
        """Wait in vain."""
        await asyncio.sleep(timeout_s)
        raise RpcTimeoutError("silent")


class LeaderReplica:
    """A replica that answers at once."""

    async def call(self, request, timeout_s: float):
        """Answer."""
        return Flag(1)


class ControlClientTest(testtools.TestCase):
    """Requests that wait while the leader dies."""

    def test_waiting_request_follows_a_new_leader(self) -> None:
        """A request leaves a silent replica once another one found the leader."""
        pool = {"1": UnresponsiveReplica(), "2": LeaderReplica()}
        client = ControlClient(pool, {"a": "1", "b": "2"})

        async def scenario() -> list[Flag]:
            waiting = asyncio.create_task(
                client.call(Flag(0), UNUSED_TIMEOUT_S, UNUSED_TIMEOUT_S)
            )
            await asyncio.sleep(0)
            other = await client.call(Flag(0), UNUSED_TIMEOUT_S, 0.01)
            return [other, await waiting]

        self.assertEqual([Flag(1), Flag(1)], asyncio.run(scenario()))
