"""Routes, services and organisations as one configuration puts them in force."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"

ROUTE_KINDS = (IDEMPOTENT, NON_IDEMPOTENT, STREAMING)


@dataclass(frozen=True)
class Share:
    """A service's share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests of one host whose path begins with a prefix."""

    name: str
    host: str
    prefix: str
    kind: str
    """One of `ROUTE_KINDS`."""
    timeout_s: float
    """Longest time that a request is kept waiting."""
    objective_s: float
    """Time to the answer, or to the first event, that earns full credit."""
    priority_class: int
    """Urgency; 0 goes first."""
    shares: tuple[Share, ...]
    max_targets: int
    """Targets on which one request may run."""
    is_anonymous: bool
    has_context: bool
    """Whether requests name the pieces of their prompt."""
    is_resumable: bool
    gap_objective_s: float
    """Longest pause between events that is still on time."""

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == IDEMPOTENT or self.is_resumable

    def allows_service(self, service: str) -> bool:
        """Whether requests may go to a service."""
        return any(s.service == service and s.weight > 0 for s in self.shares)


@dataclass(frozen=True)
class EngineSpec:
    """What each engine of a service can hold."""

    slots: int
    context_tokens: int
    bytes_per_token: int
    link_bytes_per_s: float
    models: tuple[str, ...]


@dataclass(frozen=True)
class StoreSpec:
    """A store of kept context."""

    address: str
    data_centre: str
    capacity_tokens: int
    link_bytes_per_s: float
    first_byte_s: float
    """Wait before each transfer."""
    is_managed: bool
    """Whether it frees only what it is told to free."""


@dataclass(frozen=True)
class Service:
    """A service that routes lead to, or a store."""

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None
    store: StoreSpec | None = None


@dataclass(frozen=True)
class Limits:
    """Bounds on what a client may send, and for how long it may be silent."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Organisation:
    """A customer and its keys."""

    name: str
    keys: tuple[str, ...]
    priority_class: int | None
    """Urgency of its requests; goes before the route's."""
    is_isolated: bool
    """Whether it shares kept context with no other organisation."""


@dataclass(frozen=True)
class RoutingConfiguration:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    organisations: tuple[Organisation, ...]

    @cached_property
    def routes_by_host(self) -> dict[str, list[Route]]:
        """Routes of each host, longest prefix first."""
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return found

    @cached_property
    def organisations_by_key(self) -> dict[str, Organisation]:
        """The organisation that holds each key."""
        return {key: item for item in self.organisations for key in item.keys}

    @cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Services and stores by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def stores(self) -> Sequence[Service]:
        """Services that are stores, in the order of their names."""
        found = [service for service in self.services if service.store]
        return sorted(found, key=lambda service: service.name)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
