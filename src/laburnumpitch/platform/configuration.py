"""Decodes and validates the operator's routing configuration."""

from __future__ import annotations

import math
import re
from typing import Annotated

import msgspec

from ..errors import InvalidConfigurationError
from ..relay.configuration import (
    ROUTE_KINDS,
    EngineSpec,
    Limits,
    Organisation,
    Route,
    RoutingConfiguration,
    Service,
    Share,
    StoreSpec,
)
from .wire_values import (
    MAX_DURATION_MS,
    MAX_INTEGER,
    Count,
    DurationMs,
    Integer,
    is_address,
    is_too_deep,
)

MS_PER_S = 1000.0
BYTES_PER_S_PER_MBPS = 125_000.0
DEFAULT_GAP_OBJECTIVE_MS = 1000.0
"""Default latency objective of the pause between two events of a stream."""

DEFAULT_OBJECTIVE_MS = 1000.0
"""Default latency objective of an answer, or of a stream's first event."""

CONTROL_PATTERN = re.compile(r"[\x00-\x1f\x7f]")

MAX_RATE_MBPS = 1e9
"""Highest bandwidth of a link, in megabits per second."""

MAX_WEIGHT = 1e12
"""Highest weight of a service in a route; the sum of weights has to be finite."""

RateMbps = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE_MBPS)]
"""A bandwidth; 0 if it is not known."""

MAX_REQUESTS_PER_S = 1e9
"""Highest rate of requests."""

DurationS = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS / MS_PER_S)]
RequestRate = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_REQUESTS_PER_S)]
"""Requests a second."""

Weight = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WEIGHT)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]


class WireShare(msgspec.Struct):
    """A service of a route that is split between services, with its weight."""

    service: str
    weight: Weight


class WireRoute(msgspec.Struct):
    """A route; requests go to `service`, or to those of `split` by weight."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: DurationMs
    target_latency_ms: DurationMs = DEFAULT_OBJECTIVE_MS
    priority: Integer = 0
    service: str | None = None
    split: list[WireShare] | None = None
    max_attempts: Count = 1
    anonymous: bool = False
    sticky: bool = False
    """Whether requests name the pieces of their prompt and use kept context."""
    resumable: bool = False
    gap_target_ms: DurationMs = DEFAULT_GAP_OBJECTIVE_MS
    allowed_regions: list[str] = []
    """Regions that its requests may be served in; empty for any."""


class WireModel(msgspec.Struct):
    """A model that engines serve."""

    name: str


class WireEngine(msgspec.Struct):
    """Capacity and links of each engine of a service."""

    slots: Count = 1
    kv_capacity: Count = 0
    """Prompt tokens whose context it can hold."""
    kv_bytes: Count = 0
    """Size of the context of one token."""
    link_mbps: RateMbps = 0.0
    models: list[WireModel] = []


class WireService(msgspec.Struct):
    """A service; with `kv_store_addr` it is a store of kept context."""

    name: str
    max_connections: Count = 0
    engine: WireEngine | None = None
    kv_store_addr: str | None = None
    zone: str = ""
    kv_capacity: Count = 0
    """Prompt tokens whose context the store can hold."""
    link_mbps: RateMbps = 0.0
    first_ms: DurationMs = 0.0
    """Time before the first byte of each transfer."""
    managed: bool = False
    cold_start_s: DurationS = 0.0
    """Time for which a target is cold after its start; 0 if it never is."""
    cold_per_s: RequestRate = 0.0
    """Requests a second that a cold target tolerates; 0 without a limit."""


class WireLimits(msgspec.Struct):
    """Limits on clients' requests and pauses."""

    max_header_bytes: PositiveCount = 16384
    max_body_bytes: Count = 4194304
    header_timeout_ms: DurationMs = 3000
    idle_timeout_ms: DurationMs = 15000


class WireTenant(msgspec.Struct):
    """An organisation and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: Integer | None = None
    isolated: bool = False
    allowed_regions: list[str] = []
    """Regions that its requests may be served in; empty for any."""


class WireConfiguration(msgspec.Struct):
    """The complete configuration."""

    version: Count
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(WireConfiguration, strict=True)


def decode_configuration(body: bytes) -> RoutingConfiguration:
    """Decode and validate a configuration.

    Raises:
        InvalidConfigurationError: If it is malformed or violates a rule.
    """
    try:
        wire = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidConfigurationError(f"malformed: {error}") from error
    if is_too_deep(body):
        raise InvalidConfigurationError("nested too deeply")
    check_configuration(wire)
    return RoutingConfiguration(
        wire.version,
        tuple(make_route(route) for route in wire.routes),
        tuple(make_service(service) for service in wire.services),
        Limits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
        tuple(
            Organisation(
                t.name,
                tuple(t.api_keys),
                t.priority,
                t.isolated,
                tuple(t.allowed_regions),
            )
            for t in wire.tenants or ()
        ),
        lists_organisations=wire.tenants is not msgspec.UNSET,
    )


def get_shares(route: WireRoute) -> list[WireShare]:
    """Return the services of a route with their weights; none if it names none."""
    if route.split is not None:
        return route.split
    return [WireShare(route.service, 1.0)] if route.service is not None else []


def check_configuration(wire: WireConfiguration) -> None:
    """Check the rules that the types don't express.

    Raises:
        InvalidConfigurationError: If a rule is violated; names the first one.
    """
    for service in wire.services:
        if service.kv_store_addr and not is_address(service.kv_store_addr):
            raise InvalidConfigurationError(f"{service.name}: invalid kv_store_addr")
    services = {service.name for service in wire.services}
    host_prefixes: set[tuple[str, str]] = set()
    for route in wire.routes:
        check_route(route, services)
        host_prefix = (route.host.lower(), route.path_prefix)
        if host_prefix in host_prefixes:
            raise InvalidConfigurationError(
                f"{route.name}: another route has the same host and path_prefix"
            )
        host_prefixes.add(host_prefix)
    tenants_by_key: dict[str, str] = {}
    for tenant in wire.tenants or ():
        if not is_header_value(tenant.name):
            raise InvalidConfigurationError(f"{tenant.name!r}: not a header value")
        for key in tenant.api_keys:
            if tenants_by_key.setdefault(key, tenant.name) != tenant.name:
                raise InvalidConfigurationError(
                    f"{tenant.name}: another tenant has the same API key"
                )


def is_header_value(text: str) -> bool:
    """Whether a text has no control characters, and no blanks around it."""
    return CONTROL_PATTERN.search(text) is None and text == text.strip(" ")


def check_route(route: WireRoute, services: set[str]) -> None:
    """Check the rules for one route.

    Raises:
        InvalidConfigurationError: If a rule is violated; names the first one.
    """
    shares = get_shares(route)
    if route.route_type not in ROUTE_KINDS:
        raise InvalidConfigurationError(f"{route.name}: unknown route_type")
    if not shares or any(share.service not in services for share in shares):
        raise InvalidConfigurationError(f"{route.name}: no service, or an unknown one")
    if sum(share.weight for share in shares) <= 0:
        raise InvalidConfigurationError(f"{route.name}: sum of weights is not positive")
    if route.timeout_ms <= 0:
        raise InvalidConfigurationError(f"{route.name}: timeout_ms is not positive")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        raise InvalidConfigurationError(
            f"{route.name}: path_prefix does not begin and end with a slash"
        )


def make_route(wire: WireRoute) -> Route:
    """Convert a route to the package's type."""
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=wire.route_type,
        timeout_s=wire.timeout_ms / MS_PER_S,
        objective_s=wire.target_latency_ms / MS_PER_S,
        priority_class=wire.priority,
        shares=tuple(Share(s.service, s.weight) for s in get_shares(wire)),
        max_targets=max(1, wire.max_attempts),
        is_anonymous=wire.anonymous,
        has_context=wire.sticky,
        allows_resumption=wire.resumable,
        gap_objective_s=wire.gap_target_ms / MS_PER_S,
        allowed_regions=tuple(wire.allowed_regions),
    )


def get_link_bytes_per_s(link_mbps: float) -> float:
    """Return the bandwidth of a link; infinite if it is not known."""
    return link_mbps * BYTES_PER_S_PER_MBPS or math.inf


def make_service(wire: WireService) -> Service:
    """Convert a service to the package's type."""
    engine = store = None
    if wire.engine is not None:
        engine = EngineSpec(
            wire.engine.slots,
            wire.engine.kv_capacity,
            wire.engine.kv_bytes,
            get_link_bytes_per_s(wire.engine.link_mbps),
            tuple(model.name for model in wire.engine.models),
        )
    if wire.kv_store_addr:
        store = StoreSpec(
            wire.kv_store_addr,
            wire.zone,
            wire.kv_capacity,
            get_link_bytes_per_s(wire.link_mbps),
            wire.first_ms / MS_PER_S,
            wire.managed,
        )
    return Service(
        wire.name,
        wire.max_connections,
        engine,
        store,
        wire.cold_start_s,
        wire.cold_per_s,
    )
