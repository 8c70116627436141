"""The rollout controller's checks before an order is sent."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import testtools

from laburnumpitch.control.rollout_controller import TAKEOVER_WAIT_S, RolloutController
from laburnumpitch.errors import NotLeaderError, TargetError
from laburnumpitch.targets.http_engine import HttpEngine
from laburnumpitch.targets.protocols import Fence
from laburnumpitch.transport.http_client import HttpClient
from laburnumpitch.transport.http_server import HttpServer


def make_controller(now_s: list[float]) -> RolloutController:
    """Return a controller on a stub replica whose leadership the test sets."""
    core = SimpleNamespace(term=3, leader_since_s=0.0)
    replica = SimpleNamespace(is_leader=True, core=core)
    return RolloutController(replica, None, lambda: now_s[0])


class RolloutControllerTest(testtools.TestCase):
    """The wait after a change of leader, and the check of the lease."""

    def test_takeover(self) -> None:
        """A new leader waits until no order of the previous one can arrive."""
        now_s = [TAKEOVER_WAIT_S - 0.1]
        controller = make_controller(now_s)
        self.assertFalse(controller.may_send_orders())
        now_s[0] = TAKEOVER_WAIT_S + 0.1
        self.assertTrue(controller.may_send_orders())
        controller.replica.is_leader = False
        self.assertFalse(controller.may_send_orders())

    def test_lease_is_checked_before_the_write(self) -> None:
        """An order is not written if the leadership was lost while connecting."""
        events = []

        async def handle(request, responder) -> None:
            events.append(request.path)
            await responder.send(200, [], b"{}")

        async def scenario() -> None:
            server = HttpServer("127.0.0.1", 0, handle)
            await server.start()
            controller = make_controller([100.0])
            self.assertTrue(controller.may_send_orders())
            engine = HttpEngine(HttpClient(f"127.0.0.1:{server.port}"))
            await engine.load_weights("v2", Fence(3, 1), controller.require_leadership)
            controller.replica.core.term = 4
            try:
                await engine.load_weights(
                    "v2", Fence(3, 2), controller.require_leadership
                )
            except (NotLeaderError, TargetError):
                events.append("refused")
            await server.close()

        asyncio.run(scenario())
        self.assertEqual(["/v1/orders", "refused"], events)
