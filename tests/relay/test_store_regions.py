"""Stores of the kept context of restricted requests."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from types import SimpleNamespace

import testtools

from laburnumpitch.fleet.messages import ContextGrant, GrantContext, TargetRecord
from laburnumpitch.metrics import Metrics
from laburnumpitch.relay.configuration import (
    STREAMING,
    Limits,
    Organisation,
    RoutingConfiguration,
    Service,
    StoreSpec,
)
from laburnumpitch.relay.context_planner import ContextPlanner
from laburnumpitch.relay.region_rules import RegionRules
from laburnumpitch.relay.request import AdmittedRequest, PromptPiece, RequestMetadata
from laburnumpitch.relay.store_choice import find_store
from laburnumpitch.transport.http_server import HttpRequest

from .relay_case import HOST, make_route

REGIONS = {"west-1": "west", "east-1": "east", "east-2": "east"}
ROUTE = make_route("ask", STREAMING, has_context=True)
ORGANISATION = Organisation("org", (), None, False)


def make_store(data_centre: str) -> Service:
    """Return a store in a data centre, which is also its address."""
    store = StoreSpec(data_centre, data_centre, 1000, math.inf, 0.0, True)
    return Service(f"store in {data_centre}", store=store)


def make_configuration(version: int, allowed=()) -> RoutingConfiguration:
    """Return a configuration with stores, which restricts the organisation."""
    return RoutingConfiguration(
        version,
        (ROUTE,),
        tuple(make_store(name) for name in (*REGIONS, "unknown")),
        Limits(),
        (replace(ORGANISATION, allowed_regions=tuple(allowed)),),
    )


def make_admitted(number: int) -> AdmittedRequest:
    """Return a request of its own session, admitted without a restriction."""
    pieces = (PromptPiece(f"p{number}", 10), PromptPiece("own", 10))
    metadata = RequestMetadata("a1", HOST, "", None, "m", 20, 1, pieces, "")
    request = HttpRequest("POST", "/ask/x", "", [], b"", 0.0)
    return AdmittedRequest(request, metadata, ROUTE, "models", ORGANISATION, 1)


class StoreRegionTest(testtools.TestCase):
    """Sessions whose stores are looked for among those of several regions."""

    scenarios = [
        ("unrestricted", {"allowed": (), "expected": {*REGIONS, "unknown"}}),
        ("one_store", {"allowed": ("west",), "expected": {"west-1"}}),
        ("two_stores", {"allowed": ("east",), "expected": {"east-1", "east-2"}}),
        ("none", {"allowed": ("north",), "expected": set()}),
    ]

    def setUp(self) -> None:
        super().setUp()
        self.calls: list[GrantContext] = []
        addresses = [*REGIONS, "unknown"]
        self.fleet_view = SimpleNamespace(
            configuration=make_configuration(2, self.allowed),
            assignments=dict.fromkeys(addresses, HOST),
            node=SimpleNamespace(host=HOST),
        )
        self.rules = RegionRules(self.fleet_view, REGIONS, Metrics())
        self.planner = ContextPlanner(
            self.fleet_view,
            SimpleNamespace(on_grant=self.grant),
            None,
            0,
            Metrics(),
            self.rules,
        )

    async def grant(self, call: GrantContext) -> ContextGrant:
        """Grant everything."""
        self.calls.append(call)
        return ContextGrant([True], [True], 1)

    def plan(self, data_centre: str) -> set[str]:
        """Return the stores that the requests of 40 sessions use at a target."""
        target = TargetRecord("t0", "models", "a0", data_centre, 1, 1, 4)
        used = set()
        for number in range(40):
            plan = asyncio.run(self.planner.plan(make_admitted(number), target, 1))
            used.update(filter(None, (*plan.sources, *plan.destinations)))
        return used

    def test_allowed_stores(self) -> None:
        """Context is read and saved only in allowed regions, by the rule in force."""
        data_centre = min(self.expected, default="west-1")
        self.assertEqual(self.expected, self.plan(data_centre))
        self.assertEqual(self.expected, {call.address for call in self.calls})

    def test_target_that_is_not_allowed_any_more(self) -> None:
        """Guards against moving context to a target outside the allowed regions.

        The target was chosen before the restriction came into force.
        """
        used = self.plan("elsewhere")
        self.assertEqual(set() if self.allowed else self.expected, used)

    def test_same_store_without_a_restriction(self) -> None:
        """A restriction to all regions moves no session to another store."""
        configuration = self.fleet_view.configuration
        everywhere = tuple(sorted({*REGIONS.values()}))
        for key in map(str, range(20)):
            free = find_store(configuration, key, self.rules, None)
            bound = find_store(configuration, key, self.rules, everywhere)
            if free.address in REGIONS:
                self.assertEqual(free, bound)
