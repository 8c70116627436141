"""Decoding of valid and invalid routing configurations."""

from __future__ import annotations

import copy

import msgspec
import testtools

from laburnumpitch.errors import InvalidConfigurationError
from laburnumpitch.fleet.messages import StoreConfiguration
from laburnumpitch.platform.configuration import (
    MAX_RATE_MBPS,
    MAX_WEIGHT,
    decode_configuration,
)
from laburnumpitch.platform.wire_values import (
    MAX_DURATION_MS,
    MAX_INTEGER,
    MAX_NESTING,
)
from laburnumpitch.transport.codec import encode

DEEP_STACK_FRAMES = 500
"""Calls below which a configuration is decoded; Python allows 1000."""

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


STORE = {
    "name": "store",
    "kv_store_addr": "172.20.0.2:8080",
    "zone": "z",
    "kv_capacity": 1000,
    "managed": True,
}


def make_with_store(**changes: object) -> bytes:
    """Return the valid configuration as JSON, with a store whose fields are changed."""
    services = [*VALID["services"], {**STORE, **changes}]
    return msgspec.json.encode({**VALID, "services": services})


def make_with_engine(**changes: object) -> bytes:
    """Return the valid configuration as JSON, with an engine of the given fields."""
    services = [{"name": "m", "engine": changes}, {"name": "s"}]
    return msgspec.json.encode({**VALID, "services": services})


def make_nested(depth: int) -> bytes:
    """Return the valid configuration as JSON, nested in an unknown field."""
    nested = msgspec.Raw(b"[" * (depth - 1) + b"]" * (depth - 1))
    return msgspec.json.encode({**VALID, "extra": nested})


def decode_within(frames: int, body: bytes) -> object:
    """Decode a configuration below a number of other calls; return its error."""
    if frames:
        return decode_within(frames - 1, body)
    try:
        decode_configuration(body)
    except InvalidConfigurationError as error:
        return type(error)
    return None


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

    def test_allowed_regions(self) -> None:
        """They are read for routes and organisations; none, or no entry, allows all."""
        for regions in ([], ["a", "b"]):
            for part in ("routes", "tenants"):
                body = make_changed([part, 0, "allowed_regions"], regions)
                configuration = decode_configuration(body)
                items = configuration.routes + configuration.organisations
                restricted = [i.allowed_regions for i in items if i.allowed_regions]
                self.assertEqual([tuple(regions)] if regions else [], restricted)

    def test_retryable(self) -> None:
        """A resumable stream is retryable, a non-idempotent request is not."""
        is_retryable_by_route = [
            route.is_retryable for route in self.configuration.routes
        ]
        self.assertEqual([True, False], is_retryable_by_route)


class BoundsTest(testtools.TestCase):
    """Values at their bounds, and values that are not known."""

    scenarios = [
        ("highest_version", {"body": make_changed(["version"], MAX_INTEGER)}),
        ("first_version", {"body": make_changed(["version"], 0)}),
        ("deepest_nesting", {"body": make_nested(MAX_NESTING)}),
        (
            "longest_timeout",
            {"body": make_changed(["routes", 0, "timeout_ms"], MAX_DURATION_MS)},
        ),
        (
            "highest_weights",
            {
                "body": make_changed(
                    ["routes", 0, "split"],
                    [{"service": s, "weight": MAX_WEIGHT} for s in ("m", "s")],
                )
            },
        ),
        ("store", {"body": make_with_store()}),
        ("highest_bandwidth", {"body": make_with_store(link_mbps=MAX_RATE_MBPS)}),
        ("store_without_an_address", {"body": make_with_store(kv_store_addr="")}),
        ("largest_capacity", {"body": make_with_engine(kv_capacity=MAX_INTEGER)}),
    ]

    def test_accepted(self) -> None:
        """Each is valid, and its version can be sent to the replicas."""
        configuration = decode_configuration(self.body)
        encode(StoreConfiguration(configuration.version, b""))

    def test_same_on_each_node(self) -> None:
        """Whether it is valid does not depend on the stack of the caller."""
        self.assertIsNone(decode_within(DEEP_STACK_FRAMES, self.body))


class StoreTest(testtools.TestCase):
    """Stores in the configuration."""

    def test_unknown_bandwidth(self) -> None:
        """A store whose bandwidth is not given still has a time for each transfer."""
        configuration = decode_configuration(make_with_store())
        store = configuration.services_by_name["store"].store
        self.assertEqual(0.0, 1000 / store.link_bytes_per_s)


class ColdTest(testtools.TestCase):
    """Services whose targets tolerate few requests when they are cold."""

    scenarios = [
        (
            "limited",
            {"fields": {"cold_start_s": 3, "cold_per_s": 5.9}, "limited": {"m"}},
        ),
        ("no_limit", {"fields": {"cold_start_s": 3.0, "cold_per_s": 0}}),
        ("not_stated", {"fields": {}}),
    ]
    limited: set[str] = set()

    def test_limit(self) -> None:
        """Only a service with a rate has a limit; deployments of today have none."""
        service = {"name": "m", **self.fields}
        configuration = decode_configuration(make_changed(["services", 0], service))
        self.assertEqual(self.limited, set(configuration.cold_limited_services))
        found = configuration.services_by_name["m"]
        self.assertEqual(
            (self.fields.get("cold_start_s", 0), self.fields.get("cold_per_s", 0)),
            (found.cold_start_s, found.cold_rate_per_s),
        )


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
        *(
            (f"tenant_{name!r}", {"body": make_changed(["tenants", 0, "name"], name)})
            for name in ("a\nb", "a\tb", "\x00", "a\x7f", " a", "a ")
        ),
        ("shared_key", {"body": make_changed(["tenants", 1, "api_keys"], ["k1"])}),
        (
            "unknown_route_type",
            {"body": make_changed(["routes", 0, "route_type"], "x")},
        ),
        (
            "region_is_no_name",
            {"body": make_changed(["tenants", 0, "allowed_regions"], [1])},
        ),
        ("version_is_text", {"body": make_changed(["version"], "3")}),
        ("negative_version", {"body": make_changed(["version"], -1)}),
        ("version_of_64_bits", {"body": make_changed(["version"], 2**63)}),
        (
            "version_of_400_digits",
            {"body": make_changed(["version"], msgspec.Raw(b"9" * 400))},
        ),
        (
            "timeout_above_a_float",
            {"body": make_changed(["routes", 0, "timeout_ms"], msgspec.Raw(b"1e400"))},
        ),
        ("endless_timeout", {"body": make_changed(["routes", 0, "timeout_ms"], 1e305)}),
        (
            "timeout_is_no_number",
            {"body": make_changed(["routes", 0, "timeout_ms"], msgspec.Raw(b"NaN"))},
        ),
        (
            "negative_objective",
            {"body": make_changed(["routes", 0, "target_latency_ms"], -1)},
        ),
        (
            "sum_of_weights_is_infinite",
            {
                "body": make_changed(
                    ["routes", 0, "split"],
                    [{"service": s, "weight": 1e308} for s in ("m", "s")],
                )
            },
        ),
        (
            "negative_weight",
            {
                "body": make_changed(
                    ["routes", 0, "split"], [{"service": "m", "weight": -1}]
                )
            },
        ),
        ("slots_of_70_bits", {"body": make_with_engine(slots=msgspec.Raw(b"9" * 22))}),
        (
            "capacity_of_400_digits",
            {"body": make_with_engine(kv_capacity=msgspec.Raw(b"9" * 400))},
        ),
        ("negative_capacity", {"body": make_with_engine(kv_capacity=-1)}),
        ("negative_bandwidth", {"body": make_with_store(link_mbps=-1)}),
        ("endless_bandwidth", {"body": make_with_store(link_mbps=1e305)}),
        ("store_without_a_port", {"body": make_with_store(kv_store_addr="1.2.3.4")}),
        (
            "store_port_above_range",
            {"body": make_with_store(kv_store_addr="1.2.3.4:99999")},
        ),
        ("store_host_is_no_address", {"body": make_with_store(kv_store_addr="a..b:1")}),
        (
            "negative_header_limit",
            {"body": make_changed(["limits", "max_header_bytes"], -1)},
        ),
        (
            "negative_cold_rate",
            {"body": make_changed(["services", 0], {"name": "m", "cold_per_s": -1})},
        ),
        (
            "cold_start_is_no_number",
            {"body": make_changed(["services", 0], {"name": "m", "cold_start_s": "3"})},
        ),
        ("nested_too_deeply", {"body": make_nested(MAX_NESTING + 1)}),
        ("nested_hundreds_deep", {"body": make_nested(500)}),
        ("nested_beyond_the_stack", {"body": make_nested(100_000)}),
    ]

    def test_rejected(self) -> None:
        """Each raises InvalidConfigurationError."""
        self.assertRaises(InvalidConfigurationError, decode_configuration, self.body)

    def test_same_on_each_node(self) -> None:
        """Whether it is valid does not depend on the stack of the caller."""
        self.assertIs(
            InvalidConfigurationError, decode_within(DEEP_STACK_FRAMES, self.body)
        )


class OrganisationListTest(testtools.TestCase):
    """Configurations with and without a list of organisations."""

    scenarios = [
        ("absent", {"changes": {}, "expected": False}),
        ("empty", {"changes": {"tenants": []}, "expected": True}),
        ("full", {"changes": {"tenants": VALID["tenants"]}, "expected": True}),
    ]

    def test_keys_are_required(self) -> None:
        """A list requires keys, also if it is empty."""
        document = {name: VALID[name] for name in ("version", "routes", "services")}
        body = msgspec.json.encode(document | self.changes)
        configuration = decode_configuration(body)
        self.assertEqual(self.expected, configuration.requires_api_keys)
