"""A long-lived task of a node ended at one unexpected error, in silence."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from laburnumpitch.fleet.store_client import StoreEvents, StoreListing
from laburnumpitch.fleet.store_owner import StoreOwner
from laburnumpitch.fleet_node import FleetNode
from laburnumpitch.relay.configuration import StoreSpec

from .fleet_case import WAIT_S, Fleet, FleetCase, make_configuration, wait_until
from .test_fleet import make_announcement
from .test_odd_entries import list_ended_loops


def fail_once(component: object, name: str) -> None:
    """Let the next call of a method fail, in a way that its callers do not expect."""
    method = getattr(component, name)

    def fail(*arguments: object) -> object:
        setattr(component, name, method)
        raise KeyError("odd")

    setattr(component, name, fail)


def fail_always(*arguments: object) -> None:
    """Fail, in a way that the caller does not expect."""
    raise KeyError("odd")


def break_listeners(node: FleetNode) -> None:
    """Let the first listener of the fleet view fail at each change."""
    node.fleet_view.on_change.insert(0, fail_always)


def break_load_listener(node: FleetNode) -> None:
    """Let the listener of other nodes' loads fail at each answer."""
    node.fleet_view.on_other_loads = fail_always


def break_assignments(node: FleetNode) -> None:
    """Let the leader's assignments fail at each check."""
    manager = node.replica_manager
    if manager.publisher is not None:
        manager.publisher.list_assignment_names = fail_always


BROKEN_METHODS = {
    "follow_call": lambda node: fail_once(node.fleet_view, "make_follow_call"),
    "follow_answer": lambda node: fail_once(node.fleet_view, "apply_answer"),
    "facts": lambda node: fail_once(node.fleet_view, "apply_facts"),
    "configuration": lambda node: fail_once(node.fleet_view, "decode_configuration"),
    "listeners": break_listeners,
    "load_listener": break_load_listener,
    "assignments": break_assignments,
    "term_check": lambda node: fail_once(node.replica_manager.publisher, "check_term"),
    "replica_manager": lambda node: fail_once(node.replica_manager, "is_removed"),
    "rollout_controller": lambda node: fail_once(
        node.rollout_controller, "may_give_orders"
    ),
    "snapshot_file": lambda node: fail_once(node.snapshot_file, "write"),
    "bootstrap": lambda node: fail_once(node.bootstrap, "notify_seeds"),
    "rpc_server": lambda node: fail_once(node.rpc_server.socket, "receive"),
    "rpc_message": lambda node: fail_once(node.rpc_server.socket, "on_message"),
}
"""What lets one of a node's tasks fail."""


class LoopTest(FleetCase):
    """One of the tasks of each node fails, once or again and again."""

    scenarios = [(name, {"break_task": work}) for name, work in BROKEN_METHODS.items()]
    break_task: Callable[[FleetNode], None]

    def test_node_goes_on(self) -> None:
        """Changes reach each node and its listeners, and no task has ended."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(1))
            await wait_until(lambda: fleet.list_versions() == {1})
            for node in fleet.nodes.values():
                self.break_task(node)
            async with asyncio.timeout(WAIT_S):
                await fleet.put_configuration(fleet.hosts[0], make_configuration(2))
            await wait_until(lambda: fleet.list_versions() == {2})
            body = make_announcement(1)
            path = "/-/instances/t1"
            async with asyncio.timeout(WAIT_S):
                while (await fleet.call(fleet.hosts[1], "PUT", path, body))[0] != 200:
                    await asyncio.sleep(0)
            catalogs = [n.relay.dispatcher.catalog for n in fleet.nodes.values()]
            await wait_until(
                lambda: all(catalog.get_targets("shop") for catalog in catalogs)
            )
            # The target is not announced again.
            views = [node.fleet_view for node in fleet.nodes.values()]
            await wait_until(
                lambda: all(v.targets.get_records()[0].is_silent for v in views)
            )
            for node in fleet.nodes.values():
                self.assertEqual([], list_ended_loops(node))

        self.run_fleet(3, 3, scenario)


class OddStore:
    """A store whose events fail once in a way that is not expected."""

    def __init__(self) -> None:
        self.listings = 0
        self.event_calls = 0

    async def read_listing(self, address: str) -> StoreListing:
        """Return an empty listing."""
        self.listings += 1
        return StoreListing(1, 2, (), ())

    async def read_events(self, address: str, since: int) -> StoreEvents:
        """Return no events, with a clock that cannot be used at first."""
        self.event_calls += 1
        await asyncio.sleep(0)
        clock_ms = 10**400 if self.event_calls == 1 else 5
        return StoreEvents(1, 2, False, (), clock_ms)


class StoreOwnerTest(FleetCase):
    """The owner of a store whose answer cannot be used."""

    def test_owner_goes_on(self) -> None:
        """It lists the store again, as its table may be half changed."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            owners = fleet.nodes[fleet.hosts[0]].relay.store_owners
            owners.store_client = store = OddStore()
            owners.fleet_view.configuration = EmptyConfiguration()
            owners.start(StoreSpec("127.0.0.1:9", "dc", 1000, 1e6, 0.0, True))
            owner, task = owners.running_owners["127.0.0.1:9"]
            self.assertIsInstance(owner, StoreOwner)
            await wait_until(lambda: store.event_calls > 2 or task.done())
            self.assertFalse(task.done())
            self.assertEqual(2, store.listings)
            self.assertTrue(owner.is_synchronized)
            owners.fleet_view.configuration = None

        self.run_fleet(1, 1, scenario)


class EmptyConfiguration:
    """A configuration without services."""

    services = ()
