"""Organisations that become isolated, on real nodes."""

from __future__ import annotations

from collections.abc import Iterable

from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.relay.context_planner import make_cache_salt

from .fleet_case import Fleet, FleetCase, make_configuration, wait_until

TARGET = TargetRecord("t0", "shop", "127.0.0.1:9", "dc", 1, 1, 4, build="v1")
NAMES = ("a", "b")


def make_isolating_configuration(version: int, isolated: Iterable[str]) -> bytes:
    """Return a configuration that isolates some of the organisations."""
    tenants = [
        {"name": name, "api_keys": [f"key-{name}"], "isolated": name in isolated}
        for name in NAMES
    ]
    return make_configuration(version, tenants=tenants)


def list_salts(fleet: Fleet, name: str) -> set[str]:
    """Return the salts that the nodes give an organisation."""
    salts = set()
    for node in fleet.nodes.values():
        configuration = node.fleet_view.configuration
        organisation = configuration.organisations_by_key[f"key-{name}"]
        salts.add(make_cache_salt(configuration, organisation, TARGET, 1))
    return salts


class IsolationTest(FleetCase):
    """A configuration isolates an organisation, then all nodes restart."""

    def test_all_nodes_agree(self) -> None:
        """Guards against nodes that still share what the organisation made before.

        All nodes use the same new salts, also after all of them lost their memory,
        and for a node that starts without having seen the change.
        """

        async def put(fleet: Fleet, version: int, isolated: Iterable[str]) -> None:
            body = make_isolating_configuration(version, isolated)
            await fleet.put_configuration(fleet.hosts[version % 3], body)
            await wait_until(lambda: fleet.list_versions() == {version})

        async def scenario(fleet: Fleet) -> None:
            await fleet.start(*fleet.hosts[:4])
            await put(fleet, 1, [])
            before = list_salts(fleet, "a")
            self.assertEqual(before, list_salts(fleet, "b"))
            await put(fleet, 2, ["a"])
            others = list_salts(fleet, "b")
            self.assertEqual(1, len(others))
            self.assertEqual(set(), others & before)
            own = list_salts(fleet, "a")
            await put(fleet, 3, ["a"])
            self.assertEqual(own, list_salts(fleet, "a"))
            self.assertEqual(others, list_salts(fleet, "b"))
            await fleet.stop()
            await fleet.start()
            await wait_until(lambda: fleet.list_versions() == {3})
            self.assertEqual(others, list_salts(fleet, "b"))
            self.assertEqual(own, list_salts(fleet, "a"))

        self.run_fleet(5, 3, scenario)
