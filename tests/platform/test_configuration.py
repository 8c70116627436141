"""Decoding of valid and invalid routing configurations."""

from __future__ import annotations

import copy

import msgspec
import testtools

from laburnumpitch.errors import InvalidConfigurationError
from laburnumpitch.platform.configuration import decode_configuration

VALID = {
    "version": 3,
    "routes": [
        {
            "name": "a",
            "host": "Shop.example",
            "path_prefix": "/a/",
            "route_type": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 400,
            "priority": 1,
            "split": [{"service": "m", "weight": 9}, {"service": "s", "weight": 1}],
            "max_attempts": 2,
            "resumable": True,
            "sticky": True,
        },
        {
            "name": "b",
            "host": "shop.example",
            "path_prefix": "/a/b/",
            "route_type": "non_idempotent",
            "timeout_ms": 2000,
            "service": "s",
        },
    ],
    "services": [{"name": "m"}, {"name": "s"}],
    "limits": {"max_header_bytes": 1024, "max_body_bytes": 2048},
    "tenants": [
        {"name": "t", "api_keys": ["k1", "k2"], "priority": 2},
        {"name": "u", "api_keys": ["k3"], "isolated": True},
    ],
}


def make_changed(path: list, value: object) -> bytes:
    """Return the valid configuration as JSON, with the value at a path changed."""
    document = copy.deepcopy(VALID)
    container = document
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return msgspec.json.encode(document)


class ValidTest(testtools.TestCase):
    """Routes and organisations of a valid configuration."""

    def setUp(self) -> None:
        super().setUp()
        self.configuration = decode_configuration(msgspec.json.encode(VALID))

    def test_longest_prefix_of_the_host(self) -> None:
        """Host names ignore case, and the longest matching prefix is chosen."""
        find = self.configuration.find_route
        self.assertEqual("b", find("shop.example", "/a/b/c").name)
        self.assertEqual("a", find("shop.example", "/a/bc").name)
        self.assertIsNone(find("shop.example", "/a"))
        self.assertIsNone(find("other.example", "/a/"))

    def test_keys(self) -> None:
        """Each API key identifies its organisation."""
        organisations = self.configuration.organisations_by_key
        self.assertEqual("t", organisations["k2"].name)
        self.assertTrue(organisations["k3"].is_isolated)

    def test_retryable(self) -> None:
        """A resumable stream is retryable, a non-idempotent request is not."""
        is_retryable_by_route = [
            route.is_retryable for route in self.configuration.routes
        ]
        self.assertEqual([True, False], is_retryable_by_route)


class InvalidTest(testtools.TestCase):
    """Configurations that are rejected."""

    scenarios = [
        ("truncated", {"body": msgspec.json.encode(VALID)[:-20]}),
        ("not_json", {"body": b"\xff\xfe"}),
        ("unknown_service", {"body": make_changed(["routes", 1, "service"], "x")}),
        ("no_service", {"body": make_changed(["routes", 1, "service"], None)}),
        (
            "same_host_and_prefix",
            {"body": make_changed(["routes", 1, "path_prefix"], "/a/")},
        ),
        (
            "no_weight",
            {
                "body": make_changed(
                    ["routes", 0, "split"], [{"service": "m", "weight": 0}]
                )
            },
        ),
        ("no_timeout", {"body": make_changed(["routes", 0, "timeout_ms"], 0)}),
        ("shared_key", {"body": make_changed(["tenants", 1, "api_keys"], ["k1"])}),
        (
            "unknown_route_type",
            {"body": make_changed(["routes", 0, "route_type"], "x")},
        ),
        ("version_is_text", {"body": make_changed(["version"], "3")}),
    ]

    def test_rejected(self) -> None:
        """Each raises InvalidConfigurationError."""
        self.assertRaises(InvalidConfigurationError, decode_configuration, self.body)
