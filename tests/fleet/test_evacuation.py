"""Orders to evacuate a data centre, at nodes that fail or are late."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec

from laburnumpitch.fleet.evacuation_messages import (
    PutEvacuation,
    ReadEvacuation,
    StoreEvacuation,
)
from laburnumpitch.fleet.fleet_state import FleetState
from laburnumpitch.fleet.snapshot_file import MIN_WRITE_INTERVAL_S
from laburnumpitch.platform.evacuation_calls import EVACUATIONS_PATH, PROPOSAL_WINDOW_S

from .fleet_case import (
    POLL_INTERVAL_S,
    Fleet,
    FleetCase,
    make_configuration,
    wait_until,
)

PATH = EVACUATIONS_PATH + "dc"
ORDER, WITHDRAW = "POST", "DELETE"


async def send(fleet: Fleet, host: str, method: str, path: str = PATH) -> int:
    """Send a call, and again until it is not refused for the moment."""
    while (status := (await fleet.call(host, method, path))[0]) == 503:
        await asyncio.sleep(POLL_INTERVAL_S)
    return status


def list_evacuated(fleet: Fleet) -> list[list[str]]:
    """Return the evacuated data centres that each node knows."""
    return [sorted(node.fleet_view.evacuated) for node in fleet.nodes.values()]


class EvacuationCase(FleetCase):
    """Base of tests with a configured fleet of four nodes, one without a disk."""

    def run_configured(self, scenario) -> None:
        """Start a fleet, put a configuration in force and run a scenario."""

        async def run(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(1))
            await wait_until(lambda: fleet.list_versions() == {1})
            await scenario(fleet)

        self.run_fleet(4, 3, run)


class CallTest(EvacuationCase):
    """Calls of an operator, each to another node."""

    def test_answers(self) -> None:
        """Each is answered as often as it is sent; every node has it by then."""

        async def scenario(fleet: Fleet) -> None:
            for node in fleet.nodes.values():
                regions = {"far": "north"}
                node.settings = replace(node.settings, regions_by_data_centre=regions)
            for number, (method, name, status, evacuated) in enumerate(
                [
                    (WITHDRAW, "dc", 200, []),
                    (ORDER, "dc", 200, ["dc"]),
                    (ORDER, "dc", 200, ["dc"]),
                    (WITHDRAW, "dc", 200, []),
                    (WITHDRAW, "unknown", 200, []),
                    (ORDER, "d%63", 200, ["dc"]),
                    (ORDER, "misspelt", 404, ["dc"]),
                    (ORDER, "", 400, ["dc"]),
                    (ORDER, "a" * 254, 400, ["dc"]),
                    (ORDER, "a%00", 400, ["dc"]),
                    (ORDER, "%ff", 400, ["dc"]),
                    ("GET", "dc", 400, ["dc"]),
                    (ORDER, "far", 200, ["dc", "far"]),
                ]
            ):
                host = fleet.hosts[number % len(fleet.hosts)]
                answer = await send(fleet, host, method, EVACUATIONS_PATH + name)
                self.assertEqual(status, answer, name)
                self.assertEqual([evacuated] * 4, list_evacuated(fleet), name)

        self.run_configured(scenario)

    def test_before_the_first_configuration(self) -> None:
        """An order is kept; the configuration may name the data centre first."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            path = EVACUATIONS_PATH + "stores"
            self.assertEqual(200, await send(fleet, fleet.hosts[0], ORDER, path))
            await fleet.put_configuration(fleet.hosts[0], make_configuration(1))
            await wait_until(lambda: fleet.list_versions() == {1})
            self.assertEqual([["stores"]] * 3, list_evacuated(fleet))

        self.run_fleet(3, 3, scenario)

    def test_two_operators(self) -> None:
        """Contrary calls at once are all acknowledged, and all nodes agree."""

        async def scenario(fleet: Fleet) -> None:
            statuses = await asyncio.gather(
                *(
                    send(fleet, host, method)
                    for method in (ORDER, WITHDRAW)
                    for host in fleet.hosts
                )
            )
            self.assertEqual({200}, set(statuses))
            await wait_until(lambda: len(set(map(str, list_evacuated(fleet)))) == 1)

        self.run_configured(scenario)

    def test_older_software(self) -> None:
        """Nothing is proposed while a node that may vote cannot apply it."""

        async def scenario(fleet: Fleet) -> None:
            node = fleet.nodes[fleet.hosts[0]]
            subscribers = fleet.get_leader().replica_manager.publisher.subscriptions
            view = node.fleet_view
            view.node = msgspec.structs.replace(view.node, knows_evacuations=False)
            await wait_until(
                lambda: not subscribers.by_host[
                    node.settings.host
                ].node.knows_evacuations
            )
            self.assertEqual(503, (await fleet.call(fleet.hosts[1], ORDER, PATH))[0])
            self.assertEqual([[]] * 4, list_evacuated(fleet))
            view.node = node.node_record
            self.assertEqual(200, await send(fleet, fleet.hosts[1], ORDER))

        self.run_configured(scenario)


class DelayedCallTest(EvacuationCase):
    """A node passes an order on after a newer change."""

    scenarios = [
        (
            "read_late",
            {"held": ReadEvacuation, "pause_s": PROPOSAL_WINDOW_S, "bases": []},
        ),
        (
            "proposed_late",
            {"held": PutEvacuation, "pause_s": PROPOSAL_WINDOW_S, "bases": [0]},
        ),
        ("in_time", {"held": PutEvacuation, "pause_s": 0.0, "bases": [0, 1]}),
        (
            "disconnected",
            {"held": ReadEvacuation, "pause_s": 0.0, "bases": [], "stays": False},
        ),
    ]
    stays = True
    """Whether the operator waits for the answer."""

    def test_newer_change_stays(self) -> None:
        """It starts again only while its operator waits, for less than a second."""

        async def scenario(fleet: Fleet) -> None:
            calls = fleet.nodes[fleet.hosts[3]].control_server.handler.__self__
            client = calls.evacuation_calls.leader_client
            call, is_held, release = client.call, asyncio.Event(), asyncio.Event()
            bases = []

            async def hold_call(request, *args):
                if isinstance(request, self.held):
                    is_held.set()
                    await release.wait()
                if isinstance(request, PutEvacuation):
                    bases.append(request.base_revision)
                return await call(request, *args)

            client.call = hold_call
            late = asyncio.create_task(fleet.call(fleet.hosts[3], ORDER, PATH))
            await is_held.wait()
            self.assertEqual(200, await send(fleet, fleet.hosts[0], WITHDRAW))
            await asyncio.sleep(self.pause_s)
            is_accepted = self.bases == [0, 1]
            if self.stays:
                release.set()
                self.assertEqual(200 if is_accepted else 503, (await late)[0])
            else:
                late.cancel()
                await asyncio.wait({late})
                await wait_until(lambda: not calls_in_progress(fleet))
                release.set()
            self.assertEqual(self.bases, bases)
            self.assertEqual([["dc"] if is_accepted else []] * 4, list_evacuated(fleet))

        self.run_configured(scenario)


def calls_in_progress(fleet: Fleet) -> int:
    """Return the number of calls that the last node's control server answers."""
    return fleet.nodes[fleet.hosts[3]].control_server.active_requests


class FileTest(EvacuationCase):
    """A node starts again, and reaches no other one."""

    def test_read_from_the_view(self) -> None:
        """It obeys the order that it has in its file."""

        async def scenario(fleet: Fleet) -> None:
            self.assertEqual(200, await send(fleet, fleet.hosts[0], ORDER))
            await asyncio.sleep(2 * MIN_WRITE_INTERVAL_S)
            await fleet.stop()
            await fleet.start(fleet.hosts[0])
            self.assertEqual([["dc"]], list_evacuated(fleet))

        self.run_configured(scenario)

    def test_snapshot_of_the_log(self) -> None:
        """A replica that has a snapshot instead of the entries has the evacuations."""
        state = FleetState()
        self.assertEqual(1, state.apply(StoreEvacuation("dc", True, 0)))
        self.assertEqual(0, state.apply(StoreEvacuation("dc", False, 0)))
        self.assertEqual(state.state, FleetState(state.dump()).state)
        self.assertEqual(["dc"], state.state.evacuated)
