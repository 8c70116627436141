"""Bootstrap of a cluster, its replicated state, and failures of nodes and disks."""

from __future__ import annotations

import asyncio

import msgspec

from laburnumpitch.control.raft import LEADER
from laburnumpitch.fleet import subscriptions
from laburnumpitch.fleet.leader_client import LeaderClient
from laburnumpitch.fleet.messages import Follow
from laburnumpitch.fleet.replica_manager import JOIN_INTERVAL_S

from .fleet_case import (
    POLL_INTERVAL_S,
    WAIT_S,
    Fleet,
    FleetCase,
    make_configuration,
    wait_until,
)


def make_announcement(number: int, state: str = "ready", **changes) -> bytes:
    """Return a target's announcement."""
    announcement = {
        "service": "shop",
        "address": "127.0.0.1:9",
        "zone": "dc",
        "state": state,
        "version": "v1",
        "slots": 4,
        "sequence": number,
        "born": 1000,
    }
    return msgspec.json.encode(announcement | changes)


class BootstrapTest(FleetCase):
    """First starts of the nodes in different sequences."""

    scenarios = [
        ("in_order", {"start_sequence": [0, 1, 2, 3]}),
        ("backwards", {"start_sequence": [3, 2, 1, 0]}),
        ("first_seed_last", {"start_sequence": [1, 3, 2, 0]}),
    ]

    def test_one_cluster(self) -> None:
        """All nodes with a disk are voters of one cluster, and all nodes apply it."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start(*(fleet.hosts[number] for number in self.start_sequence))
            await fleet.put_configuration(fleet.hosts[3], make_configuration(7))
            await wait_until(lambda: fleet.list_versions() == {7})
            self.assertEqual(set(fleet.hosts[:3]), fleet.list_voters())
            clusters = {node.bootstrap.cluster_id for node in fleet.nodes.values()}
            self.assertEqual(1, len(clusters))

        self.run_fleet(4, 3, scenario)


class ConfigurationTest(FleetCase):
    """Configurations that are acknowledged, refused, in force and read back."""

    def test_versions(self) -> None:
        """The highest version stays in force; others are acknowledged or refused."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            # The leader does not wait for nodes that have not subscribed yet.
            await wait_until(lambda: fleet.list_versions() == {5})
            other = make_configuration(5, limits={"max_body_bytes": 1})
            for body, status in (
                (make_configuration(5), 200),
                (other, 200),
                (make_configuration(4), 200),
                (make_configuration(3, services=[]), 400),
                (b'{"version": 9', 400),
                (make_configuration(8), 200),
            ):
                answer = await fleet.call(
                    fleet.hosts[2], "PUT", "/-/configuration", body
                )
                self.assertEqual(status, answer[0], body)
            for host in fleet.hosts:
                answer = await fleet.call(host, "GET", "/-/configuration")
                self.assertEqual((200, make_configuration(8)), answer)
            self.assertEqual({8}, fleet.list_versions())

        self.run_fleet(3, 2, scenario)

    def test_read_without_majority_is_refused(self) -> None:
        """Without a majority no configuration is read, but it stays in force."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await wait_until(lambda: fleet.list_versions() == {5})
            await fleet.stop(*fleet.hosts[1:])
            await wait_until(lambda: fleet.get_leader() is None)
            status, _ = await fleet.call(fleet.hosts[0], "GET", "/-/configuration")
            self.assertEqual(503, status)
            self.assertEqual({5}, fleet.list_versions())

        self.run_fleet(3, 3, scenario)

    def test_all_nodes_restart(self) -> None:
        """An acknowledged configuration survives a restart of all nodes."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(6))
            await fleet.stop()
            await fleet.start()
            await wait_until(fleet.get_leader)
            await wait_until(lambda: fleet.list_versions() == {6})
            answer = await fleet.call(fleet.hosts[3], "GET", "/-/configuration")
            self.assertEqual((200, make_configuration(6)), answer)

        self.run_fleet(4, 3, scenario)


class LossTest(FleetCase):
    """Failures of leaders and disks."""

    def test_leader_is_lost(self) -> None:
        """Another node takes over, and no older configuration comes into force."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            lost = fleet.get_leader().settings.host
            await fleet.stop(lost)
            await wait_until(fleet.get_leader)
            host = next(host for host in fleet.hosts if host != lost)
            await fleet.put_configuration(host, make_configuration(6))
            await fleet.start(lost)
            await wait_until(lambda: fleet.list_versions() == {6})

        self.run_fleet(3, 3, scenario)

    def test_lost_disk(self) -> None:
        """A node with an empty disk votes only as a new replica that has caught up."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            host = fleet.hosts[1]
            before = fleet.nodes[host].replica_manager.replica.core.replica_id
            await fleet.stop(host)
            fleet.wipe(host)
            await fleet.start(host)
            manager = fleet.nodes[host].replica_manager
            await wait_until(
                lambda: manager.is_voter()
                and manager.replica.state_machine.state.configuration
            )
            self.assertNotEqual(before, manager.replica.core.replica_id)
            await wait_until(lambda: fleet.list_voters() == set(fleet.hosts))

        self.run_fleet(3, 3, scenario)


CONFIRMATION_POLLS = 25
"""Checks in a row that a change is not confirmed yet."""


class ConfirmedByNewLeaderTest(FleetCase):
    """A change was confirmed, but not in force on nodes unknown to the leader."""

    def test_configuration_is_in_force(self) -> None:
        """A new leader's acknowledgement waits for the nodes of the former one."""
        self.patch(subscriptions, "KNOWN_NODES_TIMEOUT_S", WAIT_S)
        self.patch(subscriptions, "CONFIRM_TIMEOUT_S", WAIT_S)

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            leader = fleet.get_leader()
            await wait_until(lambda: len(leader.fleet_view.hosts) == len(fleet.hosts))
            slow_client = fleet.nodes[fleet.hosts[-1]].leader_client
            is_held, found_leader = hold_follow_calls(slow_client)
            await is_held.wait()
            await fleet.stop(leader.settings.host)
            await wait_until(fleet.get_leader)
            host = fleet.get_leader().settings.host
            change = asyncio.create_task(
                fleet.put_configuration(host, make_configuration(6))
            )
            await wait_until(lambda: count_version(fleet, 6) == len(fleet.nodes) - 1)
            for _ in range(CONFIRMATION_POLLS):
                await asyncio.sleep(POLL_INTERVAL_S)
                self.assertFalse(change.done())
            found_leader.set()
            await change
            self.assertEqual({6}, fleet.list_versions())

        self.run_fleet(4, 3, scenario)


def count_version(fleet: Fleet, version: int) -> int:
    """Return the number of nodes on which a configuration version is in force."""
    found = [node.fleet_view.configuration.version for node in fleet.nodes.values()]
    return found.count(version)


def hold_follow_calls(client: LeaderClient) -> tuple[asyncio.Event, asyncio.Event]:
    """Hold a node's calls for changes.

    Returns:
        An event that is set once a call is held, and the one that releases it.
    """
    is_held, release = asyncio.Event(), asyncio.Event()
    call = client.call

    async def hold_call(request, *args):
        if isinstance(request, Follow):
            is_held.set()
            await release.wait()
        return await call(request, *args)

    client.call = hold_call
    return is_held, release


class ReplacedVoterTest(FleetCase):
    """A configuration that was not read back after a voter had been replaced."""

    def test_two_disks_are_lost_after_a_replacement(self) -> None:
        """The dead voter no longer counts, so three of five voters are a majority."""

        async def scenario(fleet: Fleet) -> None:
            *first_hosts, successor = fleet.hosts
            await fleet.start(*first_hosts)
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await fleet.stop(fleet.hosts[0])
            await fleet.start(successor)
            await wait_until(lambda: successor in fleet.list_voters())
            await wait_until(lambda: fleet.list_voters() == set(fleet.hosts[1:]))
            await fleet.put_configuration(successor, make_configuration(6))
            await fleet.stop()
            for host in fleet.hosts[1:3]:
                fleet.wipe(host)
            await fleet.start(*fleet.hosts[1:])
            await wait_until(fleet.get_leader)
            answer = await fleet.call(successor, "GET", "/-/configuration")
            self.assertEqual((200, make_configuration(6)), answer)

        self.run_fleet(6, 6, scenario, tolerated_losses=2)

    def test_voter_stops_after_its_successor_joined(self) -> None:
        """It is removed, and joins again as a new replica if it returns."""

        async def scenario(fleet: Fleet) -> None:
            *first_hosts, successor = fleet.hosts
            await fleet.start(*first_hosts)
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await fleet.start(successor)
            await wait_until(lambda: fleet.list_voters() == set(fleet.hosts))
            await fleet.put_configuration(successor, make_configuration(6))
            await fleet.stop(fleet.hosts[0])
            await wait_until(lambda: fleet.list_voters() == set(fleet.hosts[1:]))
            await fleet.start(fleet.hosts[0])
            await wait_until(lambda: fleet.list_voters() == set(fleet.hosts))

        self.run_fleet(6, 6, scenario, tolerated_losses=2)


class WronglyEmptiedFolderTest(FleetCase):
    """A voter that emptied its folder though it had not been removed."""

    def test_published_members_are_older_than_the_log(self) -> None:
        """A voter that the leader still sends heartbeats to keeps its folder."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            leader = fleet.get_leader()
            node = next(n for n in fleet.nodes.values() if n is not leader)
            replica_id = node.replica_manager.replica.core.replica_id
            view = node.fleet_view
            await wait_until(lambda: view.members)
            view.members = [m for m in view.members if m.name != node.settings.host]
            for callback in view.on_change:
                callback()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(6))
            await wait_until(lambda: fleet.list_versions() == {6})
            await asyncio.sleep(2 * JOIN_INTERVAL_S)
            self.assertEqual(replica_id, node.replica_manager.replica.core.replica_id)

        self.run_fleet(3, 3, scenario)


class SeedsTest(FleetCase):
    """Seeds that are replaced by others in the settings."""

    def test_no_seed_knows_the_cluster(self) -> None:
        """Nodes of the cluster contact seeds that cannot learn of it from their own."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await fleet.stop()
            fleet.wipe(fleet.hosts[0])
            fleet.seeds = (fleet.hosts[0], fleet.hosts[3], fleet.hosts[4])
            await fleet.start()
            await wait_until(lambda: fleet.list_versions() == {5})
            await wait_until(lambda: fleet.list_voters() == set(fleet.hosts[:3]))

        self.run_fleet(5, 3, scenario)


class AnnouncementTest(FleetCase):
    """Targets that start and leave."""

    async def announce(self, fleet: Fleet, host: str, body: bytes) -> int:
        """Send an announcement to a node."""
        status, _ = await fleet.call(host, "PUT", "/-/instances/i-1", body)
        return status

    def list_states(self, fleet: Fleet) -> list[list[bool]]:
        """Return, for each node, whether each of its targets is leaving."""
        return [
            [record.is_leaving for record in node.fleet_view.targets.get_records()]
            for node in fleet.nodes.values()
        ]

    def test_acknowledged_change_is_known_everywhere(self) -> None:
        """Once a target's announcement is acknowledged, every node has its change."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await wait_until(lambda: fleet.list_versions() == {5})
            self.assertEqual(
                200, await self.announce(fleet, fleet.hosts[2], make_announcement(1))
            )
            self.assertEqual([[False]] * 4, self.list_states(fleet))
            leaving = make_announcement(2, "draining")
            self.assertEqual(200, await self.announce(fleet, fleet.hosts[3], leaving))
            self.assertEqual([[True]] * 4, self.list_states(fleet))
            self.assertEqual(
                200, await self.announce(fleet, fleet.hosts[1], make_announcement(1))
            )
            self.assertEqual([[True]] * 4, self.list_states(fleet))
            await fleet.call(fleet.hosts[0], "DELETE", "/-/instances/i-1")
            self.assertEqual([[]] * 4, self.list_states(fleet))

        self.run_fleet(4, 2, scenario)

    def test_malformed_announcements_are_refused(self) -> None:
        """Malformed announcements are refused, and other targets stay."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await wait_until(lambda: fleet.list_versions() == {5})
            await self.announce(fleet, fleet.hosts[0], make_announcement(1))
            for body in (
                b"\xff",
                b"[]",
                make_announcement(2, "resting"),
                make_announcement(3, slots="four"),
                make_announcement(4, address="nowhere"),
            ):
                status, _ = await fleet.call(
                    fleet.hosts[0], "PUT", "/-/instances/i-2", body
                )
                self.assertEqual(400, status, body)
            self.assertEqual([[False]], self.list_states(fleet))

        self.run_fleet(1, 1, scenario)


class IsolatedLeaderTest(FleetCase):
    """A leader that no longer reaches a majority."""

    def test_it_acknowledges_nothing(self) -> None:
        """A leaving target's announcement to it is not acknowledged."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            leader = fleet.get_leader()
            host = leader.settings.host
            await fleet.stop(*(other for other in fleet.hosts if other != host))
            await wait_until(lambda: leader.replica_manager.replica.core.role != LEADER)
            status, _ = await fleet.call(
                host, "PUT", "/-/instances/i-1", make_announcement(1, "draining")
            )
            self.assertEqual(503, status)

        self.run_fleet(3, 3, scenario)
