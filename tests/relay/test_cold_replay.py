"""A data centre of cold engines that returns at once: a replay in virtual time.

Nodes, coordinators and their views are the program's own; the clock, the messages
between them and the engines are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import replace
from types import SimpleNamespace

import testtools

from laburnumpitch.errors import ColdTargetError, NotCoordinatorError
from laburnumpitch.fleet.load_totals import LoadTotals
from laburnumpitch.fleet.messages import NodeRecord, PlaceProgress, TargetRecord
from laburnumpitch.fleet.target_table import TargetTable
from laburnumpitch.relay.configuration import (
    IDEMPOTENT,
    Limits,
    RoutingConfiguration,
    Service,
)
from laburnumpitch.relay.coordinator import (
    SLOT_OVERCOMMIT,
    Coordinator,
    make_assignment_key,
)
from laburnumpitch.relay.dispatcher import RECHECK_INTERVAL_S, Dispatcher
from laburnumpitch.relay.placement_client import Placement
from laburnumpitch.relay.request import AdmittedRequest, RequestMetadata
from laburnumpitch.relay.target_catalog import TargetCatalog
from laburnumpitch.relay.target_statistics import TargetStatistics
from laburnumpitch.transport.http_server import HttpRequest

from .relay_case import make_route

SERVICE = "shop"
NODES = 91
ENGINES = 45
RETURNING = 18
REQUESTS_PER_S = 526.0
SLOTS = 60
SERVICE_S = 2.8
OVERRUN, SLACK = 1.5, 5.0
COLD_START_S = 3.0
RETURN_S = 3.0
WARM_S = RETURN_S + COLD_START_S
END_S = WARM_S + 1.0
VIEW_SKEW_S = 0.3
"""Largest delay after which a node learns of a change."""

MAX_WAIT_S = 0.5
"""Time for which a request tries to get a target."""

WITH, LOST, TWO = "coordinator", "coordinator_lost", "two_coordinators"


def run_now(coroutine):
    """Return the result of a coroutine that does not wait for anything."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waits")


class Node:
    """One node: its view, its dispatcher and its coordinator."""

    def __init__(self, replay: Replay, number: int, rate_per_s: float) -> None:
        self.replay = replay
        host = f"h{number}"
        service = Service(SERVICE, 0, None, None, COLD_START_S, rate_per_s)
        self.contact_s: float | None = None
        """Time of the last contact with the leader, if it is lost."""
        self.view = SimpleNamespace(
            targets=TargetTable(1.2),
            evacuated=frozenset(),
            configuration=RoutingConfiguration(1, (), (service,), Limits(), ()),
            weight_versions={},
            assignments={make_assignment_key(SERVICE): "h0"},
            node=NodeRecord(host, host, "", "", "dc0", True),
            hosts=[f"h{n}" for n in range(NODES)],
            node_count=NODES,
            other_loads={},
            builds={},
            term=1,
            on_change=[],
            contact_since_s=-60.0,
            get_time_s=replay.get_time_s,
            get_contact_age_s=self.get_contact_age_s,
        )
        for number in range(ENGINES):
            is_gone = number < RETURNING
            record = TargetRecord(
                *(f"e{number}", SERVICE, f"a{number}", "dc0", 1, 1, SLOTS),
                is_gone=is_gone,
                has_expired=is_gone,
                states_cold=True,
            )
            self.view.targets.apply_changes([record], 0.0)
        self.statistics = TargetStatistics(replay.get_time_s)
        catalog = TargetCatalog(self.view, self.statistics, replay.get_time_s, 12.0)
        source = random.Random(host)
        self.coordinator = Coordinator(catalog, replay.get_time_s, source)
        self.dispatcher = Dispatcher(catalog, self, replay.get_time_s, source)
        self.dispatcher.cold_sends.get_clock_s = replay.get_time_s
        self.change()
        self.coordinator.cold_grants.assigned_s = dict.fromkeys(
            self.coordinator.cold_grants.assigned_s, -60.0
        )

    def get_contact_age_s(self) -> float:
        """Return the time since the last contact with the leader."""
        return 0.0 if self.contact_s is None else self.replay.now_s - self.contact_s

    def change(self) -> None:
        """Tell the node that its view has changed."""
        for callback in self.view.on_change:
            callback()

    def assign(self, host: str) -> None:
        """Apply a change of the coordinator."""
        self.view.assignments = {make_assignment_key(SERVICE): host}
        self.change()

    def apply_return(self) -> None:
        """Apply the announcements of the engines that return, made before they left."""
        entries = list(self.view.targets.entries.values())[:RETURNING]
        returned = {"is_gone": False, "has_expired": False, "sequence": 2}
        records = [TargetRecord(**{**to_dict(e.record), **returned}) for e in entries]
        self.view.targets.apply_changes(records, self.replay.now_s)
        self.change()

    async def request_placement(self, call):
        """Call the service's coordinator."""
        host = self.view.assignments[make_assignment_key(SERVICE)]
        if host in self.replay.lost_hosts:
            return None
        try:
            answer = await self.replay.nodes_by_host[host].coordinator.on_place_call(
                call
            )
        except NotCoordinatorError:
            return None
        placement = Placement(SERVICE, host, answer.number)
        return answer, placement if answer.target_id else None

    def release(self, placement: Placement) -> None:
        """Release a placement."""
        coordinator = self.replay.nodes_by_host[placement.host].coordinator
        coordinator.apply_progress(PlaceProgress(SERVICE, [], [placement.number]))


def to_dict(record: TargetRecord) -> dict[str, object]:
    """Return the fields of a record."""
    return {name: getattr(record, name) for name in record.__struct_fields__}


class Replay:
    """The peak, with engines that return all at once.

    Args:
        situation: What happens to the coordinator meanwhile.
        rate_per_s: Rate of a cold engine; 0 without a limit.
    """

    def __init__(self, situation: str, rate_per_s: float) -> None:
        self.now_s = 0.0
        self.random = random.Random(7)
        self.events: list = []
        self.numbers = itertools.count()
        self.lost_hosts: set[str] = set()
        self.sends: dict[str, list[tuple[float, float]]] = {
            f"e{n}": [] for n in range(ENGINES)
        }
        """Times at which requests to each engine were sent and arrived."""
        self.running = dict.fromkeys(self.sends, 0)
        self.max_running = 0
        self.refused = 0
        nodes = [Node(self, number, rate_per_s) for number in range(NODES)]
        self.nodes_by_host = {node.view.node.host: node for node in nodes}
        for node in nodes:
            skew_s = self.random.uniform(0.0, VIEW_SKEW_S)
            self.at(RETURN_S + skew_s, node.apply_return)
        if situation == LOST:
            self.at(RETURN_S, lambda: self.lost_hosts.add("h0"))
            self.at(RETURN_S + 1.4, lambda: self.replace_coordinator(nodes))
        elif situation == TWO:
            # A new leader, which the former one and half of the nodes find late.
            nodes[1].view.contact_since_s = RETURN_S
            self.at(RETURN_S, lambda: setattr(nodes[0], "contact_s", self.now_s))
            self.at(RETURN_S + 0.05, lambda: self.replace_coordinator(nodes[1::2]))
            self.at(RETURN_S + 1.4, lambda: self.replace_coordinator(nodes[::2]))
        self.at(0.0, lambda: self.arrive(nodes))
        self.at(0.3, lambda: self.report_loads(nodes))

    def get_time_s(self) -> float:
        """Return the virtual time."""
        return self.now_s

    def at(self, time_s: float, action) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (time_s, next(self.numbers), action))

    def run(self) -> None:
        """Run until the end."""
        while self.events and self.events[0][0] < END_S:
            self.now_s, _, action = heapq.heappop(self.events)
            action()

    def replace_coordinator(self, nodes: list[Node]) -> None:
        """Tell nodes of the new coordinator."""
        for node in nodes:
            node.assign("h1")

    def report_loads(self, nodes: list[Node]) -> None:
        """Send all nodes' loads to each node, as the leader does."""
        totals = LoadTotals()
        for node in nodes:
            totals.replace_report(node.view.node.host, node.statistics.get_loads())
        for node in nodes:
            node.view.other_loads = totals.get_totals_of_others(node.view.node.host)
        self.at(self.now_s + 0.3, lambda: self.report_loads(nodes))

    def arrive(self, nodes: list[Node]) -> None:
        """Start a client's request at a node."""
        self.at(
            self.now_s + self.random.expovariate(REQUESTS_PER_S),
            lambda: self.arrive(nodes),
        )
        request = HttpRequest("GET", "/read/", "", [], b"", self.now_s)
        metadata = RequestMetadata("a", "h", "", None, "", 0, 0, (), "")
        route = replace(make_route("read", IDEMPOTENT), objective_s=1.0)
        admitted = AdmittedRequest(request, metadata, route, SERVICE, None, 1)
        self.try_place(self.random.choice(nodes), admitted)

    def try_place(self, node: Node, admitted: AdmittedRequest) -> None:
        """Ask for a target, now and again."""
        target = run_now(node.dispatcher.try_acquire(admitted, frozenset(), ""))
        if target is not None:
            # One in twenty sends is slow, as with a connection that has to be opened.
            is_slow = self.random.random() < 0.05
            delay_s = self.random.uniform(0.2, 0.5) if is_slow else 0.002
            self.at(self.now_s + delay_s, lambda: self.send(node, admitted, target))
        elif self.now_s - admitted.request.received_at_s > MAX_WAIT_S:
            self.refused += 1
        else:
            delay_s = node.dispatcher.retry_delays_s.get(
                (SERVICE, ""), RECHECK_INTERVAL_S
            )
            self.at(self.now_s + delay_s, lambda: self.try_place(node, admitted))

    def send(self, node: Node, admitted: AdmittedRequest, target: TargetRecord) -> None:
        """Write the request, if it still may be."""
        check = node.dispatcher.cold_sends.add_check(admitted, target, None)
        try:
            if check is not None:
                check()
        except ColdTargetError:
            node.dispatcher.release_unused(target, admitted)
            self.try_place(node, admitted)
            return
        name = target.target_id
        arrived_s = self.now_s + self.random.uniform(0.001, 0.02)
        self.sends[name].append((self.now_s, arrived_s))
        self.running[name] += 1
        if int(name[1:]) >= RETURNING:
            self.max_running = max(self.max_running, self.running[name])
        service_s = self.random.uniform(0.5, 1.5) * SERVICE_S
        self.at(arrived_s + service_s, lambda: self.end(node, admitted, target))

    def end(self, node: Node, admitted: AdmittedRequest, target: TargetRecord) -> None:
        """End a request."""
        self.running[target.target_id] -= 1
        node.dispatcher.release_unused(target, admitted)

    def count_most(self) -> int:
        """Return the most requests that a cold engine got in any second."""
        most = 0
        for number in range(RETURNING):
            times = [t for t in self.sends[f"e{number}"] if t[0] < WARM_S]
            for start_s, _ in times:
                within = [t for t in times if t[0] >= start_s and t[1] <= start_s + 1]
                most = max(most, len(within))
        return most


class ColdReplayTest(testtools.TestCase):
    """The engines of a data centre return cold at the peak."""

    scenarios = [
        (
            f"{situation}-{rate_per_s}",
            {"situation": situation, "rate_per_s": rate_per_s},
        )
        for rate_per_s in (5.9, 15.0)
        for situation in (WITH, LOST, TWO)
    ]

    def test_return(self) -> None:
        """No engine gets more than its limit, and all carry full load once warm.

        Guards against engines that crash since all nodes take them for idle, against
        overload of the warm ones, and against engines that are left idle.
        """
        replay = Replay(self.situation, self.rate_per_s)
        replay.run()
        limit = int(self.rate_per_s * OVERRUN + SLACK)
        self.assertLessEqual(replay.count_most(), limit)
        self.assertLessEqual(replay.max_running, SLOT_OVERCOMMIT * SLOTS)
        self.assertEqual(0, replay.refused)
        mean_running = sum(replay.running.values()) / ENGINES
        least_running = min(replay.running[f"e{n}"] for n in range(RETURNING))
        self.assertGreater(least_running, 0.7 * mean_running)


class UnlimitedReplayTest(testtools.TestCase):
    """The same without a limit in the configuration."""

    def test_return(self) -> None:
        """The engines get far more than a cold one tolerates, so the load is real."""
        replay = Replay(WITH, 0.0)
        replay.run()
        self.assertGreater(replay.count_most(), 27)
