"""The routing configuration: routes, services, limits and organisations."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property

from ..policy.backlog_bound import RequestKind

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"

ROUTE_KINDS = (IDEMPOTENT, NON_IDEMPOTENT, STREAMING)


@dataclass(frozen=True)
class Share:
    """The weight of a service among those that share a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """How to relay the requests of one host whose path begins with a prefix."""

    name: str
    host: str
    prefix: str
    kind: str
    """One of `ROUTE_KINDS`."""
    timeout_s: float
    """Longest time to a request's complete answer; a client may ask for less."""
    objective_s: float
    """Latency objective of the answer, or of a stream's first event."""
    priority_class: int
    """Priority class of its requests; 0 is served first."""
    shares: tuple[Share, ...]
    max_targets: int
    """Number of targets on which one request may run."""
    is_anonymous: bool
    """Whether requests need no API key."""
    has_context: bool
    """Whether requests name the pieces of their prompt and use kept context."""
    allows_resumption: bool
    """Whether the configuration says that a broken stream can continue at another
    target. It may say so of a route of any kind."""
    gap_objective_s: float
    """Latency objective of the pause between two events of a stream."""
    allowed_regions: tuple[str, ...] = ()
    """Regions that its requests may be served in; empty for any."""

    @property
    def is_resumable(self) -> bool:
        """Whether its answers are streams that can continue at another target."""
        return self.kind == STREAMING and self.allows_resumption

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once, on one target after another."""
        return self.kind == IDEMPOTENT or self.is_resumable

    @property
    def request_kind(self) -> RequestKind:
        """What the bound of a request's backlog follows from."""
        return RequestKind(self.priority_class, self.objective_s)

    def allows_service(self, service: str) -> bool:
        """Whether the route sends requests to a service."""
        return any(s.service == service and s.weight > 0 for s in self.shares)


@dataclass(frozen=True)
class EngineSpec:
    """Capacity and links of each engine of a service."""

    slots: int
    """Requests that it runs at once."""
    context_tokens: int
    """Prompt tokens whose context it can hold."""
    bytes_per_token: int
    """Size of the context of one token."""
    link_bytes_per_s: float
    models: tuple[str, ...]


@dataclass(frozen=True)
class StoreSpec:
    """Address, capacity and link of a store of kept context."""

    address: str
    data_centre: str
    capacity_tokens: int
    link_bytes_per_s: float
    first_byte_s: float
    """Time before the first byte of each transfer."""
    is_managed: bool
    """Whether it frees kept context only when its owner tells it to."""


@dataclass(frozen=True)
class Service:
    """A service that routes refer to, or a store of kept context."""

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None
    store: StoreSpec | None = None
    cold_start_s: float = 0.0
    """Time for which a target is cold after its start; 0 if it never is."""
    cold_rate_per_s: float = 0.0
    """Requests a second that a cold target tolerates; 0 without a limit."""


@dataclass(frozen=True)
class Limits:
    """Bounds on the size of a client's requests and on its pauses."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Organisation:
    """A customer and its API keys."""

    name: str
    keys: tuple[str, ...]
    priority_class: int | None
    """Priority class of its requests; overrides the route's."""
    is_isolated: bool
    """Whether its kept context is shared with no other organisation."""
    allowed_regions: tuple[str, ...] = ()
    """Regions that its requests may be served in; empty for any."""


@dataclass(frozen=True)
class RoutingConfiguration:
    """One version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    organisations: tuple[Organisation, ...]
    context_epoch: int = 0
    """Epoch of the kept context that organisations share."""
    lists_organisations: bool = False
    """Whether it has a list of organisations, which may be empty."""

    @property
    def requires_api_keys(self) -> bool:
        """Whether routes that are not anonymous need the key of an organisation.

        With an empty list no key is valid: the last one was withdrawn.
        """
        return self.lists_organisations or bool(self.organisations)

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
        """The organisation of each API key."""
        return {key: item for item in self.organisations for key in item.keys}

    @cached_property
    def organisations_by_name(self) -> dict[str, Organisation]:
        """The organisation of each name."""
        return {organisation.name: organisation for organisation in self.organisations}

    @cached_property
    def sharing_names(self) -> frozenset[str]:
        """Names of the organisations that share context."""
        return frozenset(self.list_organisations(is_isolated=False))

    def list_organisations(self, is_isolated: bool) -> list[str]:
        """Return the names of the organisations that are isolated, or of the others."""
        return [o.name for o in self.organisations if o.is_isolated == is_isolated]

    @cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Services and stores by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def cold_limited_services(self) -> dict[str, Service]:
        """Services that limit the requests to a cold target, by name."""
        return {s.name: s for s in self.services if s.cold_rate_per_s > 0}

    @cached_property
    def stores(self) -> Sequence[Service]:
        """Services that are stores, sorted by name."""
        found = [service for service in self.services if service.store]
        return sorted(found, key=lambda service: service.name)

    @cached_property
    def context_kinds(self) -> dict[str, list[RequestKind]]:
        """Kinds of prompts with kept context that each service may get."""
        found: dict[str, list[RequestKind]] = {}
        for route in self.routes:
            if route.has_context:
                for share in route.shares:
                    found.setdefault(share.service, []).append(route.request_kind)
        return found

    @cached_property
    def resumable_services(self) -> frozenset[str]:
        """Services of the routes whose streams may go on at another target."""
        return frozenset(
            share.service
            for route in self.routes
            if route.is_resumable
            for share in route.shares
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix matches the most of a path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
