"""Salts that separate the kept context of isolated organisations."""

from __future__ import annotations

from collections.abc import Iterable

import testtools

from laburnumpitch.fleet.fleet_state import FleetState
from laburnumpitch.fleet.messages import StoreConfiguration, TargetRecord
from laburnumpitch.policy.context_sharing import MAX_SHARERS, ContextSharing
from laburnumpitch.relay.configuration import (
    Limits,
    Organisation,
    RoutingConfiguration,
)
from laburnumpitch.relay.context_planner import make_cache_salt
from laburnumpitch.transport.header_bytes import encode_headers

TARGET = TargetRecord("t0", "shop", "127.0.0.1:1", "dc", 1, 1, 4, build="v1")


def make_configuration(
    isolated: Iterable[str] = (), sharing: Iterable[str] = (), context_epoch: int = 0
) -> RoutingConfiguration:
    """Return a configuration with some organisations."""
    organisations = tuple(
        Organisation(name, (f"key of {name}",), None, name in isolated)
        for name in (*isolated, *sharing)
    )
    return RoutingConfiguration(1, (), (), Limits(), organisations, context_epoch)


NAMES = ("shop", "Česk\u00fd", "a/b", "a%2Fb", "a\nb", " a", "a", "a ")


def make_salt(name: str) -> str:
    """Return the salt of an isolated organisation."""
    organisation = Organisation(name, ("key",), None, True)
    return make_cache_salt(make_configuration([name]), organisation, TARGET, 1)


class OrganisationNameTest(testtools.TestCase):
    """Organisations whose names are no values of headers."""

    scenarios = [(repr(name), {"name": name}) for name in NAMES]

    def test_salt_fits_in_a_header(self) -> None:
        """A request that carries the salt can be written."""
        salt = make_salt(self.name)
        ((_, value),) = encode_headers([("cache-salt", salt)])
        self.assertRegex(value.decode(), r"\A[!-~]+\Z")

    def test_salt_is_unique(self) -> None:
        """No other organisation has the same salt."""
        others = [make_salt(name) for name in NAMES if name != self.name]
        self.assertNotIn(make_salt(self.name), others)


class ChangedIsolationTest(testtools.TestCase):
    """Configurations that change who shares context."""

    def setUp(self) -> None:
        super().setUp()
        self.state = FleetState()
        self.version = 0

    def store(self, isolated: Iterable[str] = (), sharing: Iterable[str] = ()):
        """Put a configuration in force, and return it as the nodes have it."""
        self.version += 1
        command = StoreConfiguration(
            self.version, b"text", sharing=list(sharing), isolated=list(isolated)
        )
        self.state.apply(command)
        epoch = self.state.state.context_epoch
        return make_configuration(isolated, sharing, epoch)

    def make_salt(self, configuration: RoutingConfiguration, name: str) -> str:
        """Return the salt of an organisation that shared context when admitted."""
        requester = Organisation(name, (), None, False)
        return make_cache_salt(configuration, requester, TARGET, 1)

    def test_context_made_before_isolation_is_not_shared(self) -> None:
        """Guards against reading what an organisation made before its isolation.

        The salt of the others stayed the same, so they read it as before.
        """
        before = self.store(sharing=["a", "b", "c"])
        shared = self.make_salt(before, "a")
        self.assertEqual(shared, self.make_salt(before, "b"))
        after = self.store(isolated=["a"], sharing=["b", "c"])
        salts = {self.make_salt(after, name) for name in ("a", "b")}
        self.assertEqual(2, len(salts))
        self.assertNotIn(shared, salts)
        self.assertEqual(self.make_salt(after, "b"), self.make_salt(after, "c"))

    def test_isolated_again(self) -> None:
        """What is made between two isolations is not shared after the second one."""
        self.store(sharing=["a", "b"])
        first = self.make_salt(self.store(isolated=["a"], sharing=["b"]), "a")
        between = self.make_salt(self.store(sharing=["a", "b"]), "a")
        last = self.store(isolated=["a"], sharing=["b"])
        self.assertNotEqual(between, self.make_salt(last, "b"))
        self.assertEqual(first, self.make_salt(last, "a"))

    def test_removed_and_isolated_later(self) -> None:
        """An organisation that was removed in between has shared context, too."""
        before = self.store(sharing=["a", "b"])
        removed = self.store(sharing=["b"])
        shared = self.make_salt(before, "b")
        self.assertEqual(shared, self.make_salt(removed, "b"))
        self.assertNotEqual(shared, self.make_salt(removed, "a"))
        after = self.store(isolated=["a"], sharing=["b"])
        self.assertNotEqual(shared, self.make_salt(after, "b"))

    def test_other_changes_keep_shared_context(self) -> None:
        """Organisations that never shared context, or share it now, cost nothing."""
        shared = self.make_salt(self.store(isolated=["x"], sharing=["a"]), "a")
        for isolated, sharing in (
            (["x"], ["a", "b"]),
            (["x", "y"], ["a", "b"]),
            (["y"], ["a", "b", "x"]),
            ([], ["a", "b"]),
        ):
            configuration = self.store(isolated, sharing)
            self.assertEqual(shared, self.make_salt(configuration, "a"), isolated)

    def test_restart(self) -> None:
        """The epoch and its organisations outlast the memory of all nodes."""
        self.store(sharing=["a", "b"])
        self.store(isolated=["a"], sharing=["b"])
        self.state = FleetState(self.state.dump())
        shared = self.make_salt(self.store(isolated=["a"], sharing=["b"]), "b")
        after = self.store(isolated=["a", "b"], sharing=["c"])
        self.assertNotEqual(shared, self.make_salt(after, "c"))

    def test_old_log(self) -> None:
        """After commands of older software, any isolation begins a new epoch."""
        self.version += 1
        self.state.apply(StoreConfiguration(self.version, b"text"))
        sharing = self.store(sharing=["b"])
        self.assertEqual("v1", self.make_salt(sharing, "b"))
        after = self.store(isolated=["a"], sharing=["b"])
        self.assertNotEqual("v1", self.make_salt(after, "b"))

    def test_waiting_request(self) -> None:
        """A request that was admitted before the isolation shares nothing after."""
        self.store(sharing=["a", "b"])
        after = self.store(isolated=["a"], sharing=["b"])
        self.assertNotEqual(self.make_salt(after, "a"), self.make_salt(after, "b"))


class SharingTest(testtools.TestCase):
    """The bound of what is remembered."""

    def test_many_organisations(self) -> None:
        """A new epoch begins when too many organisations would be remembered."""
        sharing = ContextSharing().apply(1, ["old"], [])
        names = [f"o{number}" for number in range(MAX_SHARERS)]
        sharing = sharing.apply(2, names, [])
        self.assertEqual(ContextSharing(2, frozenset(names)), sharing)
