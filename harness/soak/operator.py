"""The operator of a soak: changes configurations, keys and weight versions."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.transport.http_client import HttpClient

from .fleet import SoakFleet

HOST = "soak.example"
ORGANISATIONS = ("alone", "north", "south")
ISOLATED_ORGANISATIONS = frozenset(("alone",))
"""Organisations that share kept context with no other one."""

ROTATING_KEY_ORGANISATION = "south"
"""Organisation whose key changes with each configuration."""

CALL_TIMEOUT_S = 1.5
"""Time to the first byte of an answer."""

CONFIGURATION_DELAY_S = 2.0
"""Time from a configuration's acknowledgement until all nodes must apply it."""

VERSIONED_ROUTE_LIFETIME = 2
"""Number of configurations in a row that have a version's own route and key."""

IDLE_TIMEOUTS_MS = (6000, 400, 1500)
"""Time after which a client's idle connection is closed, by configuration version."""

EVACUATED_DATA_CENTRE = "dc-b"
"""Data centre that is evacuated and has every second target."""

MAX_SERVICE_S = 3.0
"""Longest time between two evacuations, and of a short one."""

MAX_EVACUATION_S = 15.0
"""Longest time of a long evacuation."""

MODEL = "m"
PLAIN_SERVICES = ("shop-a", "shop-b")
ENGINE_SERVICE = "models"


@dataclass
class ConfigurationChange:
    """A configuration that was sent to the fleet."""

    version: int
    sent_s: float
    acknowledged_s: float = float("inf")


def list_versions_in_force(
    changes: Iterable[ConfigurationChange], at_s: float
) -> list[int]:
    """Return the configuration versions that a node may apply at a time."""
    oldest = 0
    allowed = []
    for change in changes:
        if change.acknowledged_s + CONFIGURATION_DELAY_S < at_s:
            oldest = max(oldest, change.version)
        if change.sent_s <= at_s:
            allowed.append(change.version)
    return [version for version in allowed if version >= oldest]


@dataclass
class WeightVersionChange:
    """A weight version that was set for the model."""

    version: int
    sent_s: float
    acknowledged_s: float = float("inf")


@dataclass
class EvacuationChange:
    """An evacuation that was ordered, and its withdrawal."""

    data_centre: str
    sent_s: float
    acknowledged_s: float = float("inf")
    withdrawn_s: float = float("inf")
    """When its withdrawal was sent."""
    ended_s: float = float("inf")
    """When its withdrawal was acknowledged."""


def get_versioned_path(version: int) -> str:
    """Return the path of the route that a configuration version adds."""
    return f"/step-{version}/"


def get_rotating_key(version: int) -> str:
    """Return the API key that a configuration version adds."""
    return f"key-{ROTATING_KEY_ORGANISATION}-{version}"


def get_idle_timeout_s(version: int) -> float:
    """Return the idle timeout of a configuration version."""
    return IDLE_TIMEOUTS_MS[version % len(IDLE_TIMEOUTS_MS)] / 1000


def make_route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route with the path prefix `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "service": service,
        "max_attempts": 1,
        **changes,
    }


def make_configuration(version: int) -> dict:
    """Return the configuration of a version.

    Each version moves the route `moved` to the other service, adds a route and a
    key of its own, removes the oldest such route and key, and raises or lowers the
    idle timeout.
    """
    active_versions = range(max(1, version - VERSIONED_ROUTE_LIFETIME + 1), version + 1)
    context = {"sticky": True, "gap_target_ms": 300}
    routes = [
        make_route("order", "non_idempotent", "shop-a"),
        make_route("read", "idempotent", "shop-b", max_attempts=2),
        make_route("moved", "idempotent", PLAIN_SERVICES[version % 2], max_attempts=2),
        make_route("ask", "streaming", ENGINE_SERVICE, **context),
        make_route(
            "resumed",
            "streaming",
            ENGINE_SERVICE,
            max_attempts=2,
            resumable=True,
            **context,
        ),
        *(make_route(f"step-{n}", "idempotent", "shop-a") for n in active_versions),
    ]
    tenants = [
        {"name": n, "api_keys": [f"key-{n}"], "isolated": n in ISOLATED_ORGANISATIONS}
        for n in ORGANISATIONS
        if n != ROTATING_KEY_ORGANISATION
    ]
    rotating = [get_rotating_key(n) for n in active_versions]
    tenants.append({"name": ROTATING_KEY_ORGANISATION, "api_keys": rotating})
    engine = {"slots": 16, "kv_capacity": 60000, "kv_bytes": 1000}
    return {
        "version": version,
        "routes": routes,
        "services": [
            *({"name": name} for name in PLAIN_SERVICES),
            {"name": ENGINE_SERVICE, "engine": {**engine, "models": [{"name": MODEL}]}},
        ],
        "tenants": tenants,
        "limits": {"idle_timeout_ms": get_idle_timeout_s(version) * 1000},
    }


@dataclass
class SoakOperator:
    """Changes the configuration and the weight version, and reads configurations."""

    fleet: SoakFleet
    random: Random
    configuration_changes: list[ConfigurationChange] = field(default_factory=list)
    weight_version_changes: list[WeightVersionChange] = field(default_factory=list)
    evacuation_changes: list[EvacuationChange] = field(default_factory=list)
    stale_reads: list[str] = field(default_factory=list)
    reads: int = 0
    accepted_invalid: list[str] = field(default_factory=list)
    invalid_sent: int = 0

    async def call(self, method: str, path: str, body: dict | None, host: str):
        """Call one node.

        Returns:
            Status and body, or None without an answer.
        """
        client = HttpClient(f"{host}:{self.fleet.control_port}")
        content = json.dumps(body).encode() if body is not None else b""
        try:
            answer = await client.request(
                method, path, [], content, first_byte_timeout_s=CALL_TIMEOUT_S
            )
            return answer.status, await answer.read()
        except LaburnumpitchError:
            # The caller distinguishes a missing answer from a refusal.
            return None
        finally:
            client.close()

    async def send_until_acknowledged(
        self, method: str, path: str, body: dict | None = None
    ) -> None:
        """Send a change to random nodes until one acknowledges it."""
        while True:
            answer = await self.call(
                method, path, body, self.random.choice(self.fleet.hosts)
            )
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)

    async def change_configuration(self) -> None:
        """Send the next configuration and record its acknowledgement."""
        change = ConfigurationChange(
            len(self.configuration_changes) + 1, time.monotonic()
        )
        self.configuration_changes.append(change)
        body = make_configuration(change.version)
        await self.send_until_acknowledged("PUT", "/-/configuration", body)
        change.acknowledged_s = time.monotonic()

    async def change_weight_version(self) -> None:
        """Set the next weight version and record its acknowledgement."""
        weight_version_change = WeightVersionChange(
            len(self.weight_version_changes) + 2, time.monotonic()
        )
        self.weight_version_changes.append(weight_version_change)
        body = {"model": MODEL, "version": weight_version_change.version}
        await self.send_until_acknowledged("POST", "/-/version-put", body)
        weight_version_change.acknowledged_s = time.monotonic()

    async def run_evacuations(self, duration_s: float) -> None:
        """Evacuate a data centre again and again; it is in service at the end."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.0) * MAX_SERVICE_S)
            change = EvacuationChange(EVACUATED_DATA_CENTRE, time.monotonic())
            self.evacuation_changes.append(change)
            await self.send_evacuation("POST")
            change.acknowledged_s = time.monotonic()
            hold_s = self.random.choice((MAX_SERVICE_S, MAX_EVACUATION_S))
            hold_s *= self.random.uniform(0.2, 1.0)
            await asyncio.sleep(max(0.0, min(hold_s, end_s - time.monotonic())))
            change.withdrawn_s = time.monotonic()
            await self.send_evacuation("DELETE")
            change.ended_s = time.monotonic()

    async def send_evacuation(self, method: str) -> None:
        """Send an order or its withdrawal, sometimes through two nodes at once."""
        path = f"/-/evacuations/{EVACUATED_DATA_CENTRE}"
        count = self.random.choice((1, 2))
        await asyncio.gather(
            *(self.send_until_acknowledged(method, path) for _ in range(count))
        )

    async def send_invalid(self) -> None:
        """Send a configuration with an unknown service; record if it is accepted."""
        body = make_configuration(len(self.configuration_changes) + 1)
        body["routes"][0]["service"] = "unknown"
        self.invalid_sent += 1
        host = self.random.choice(self.fleet.hosts)
        answer = await self.call("PUT", "/-/configuration", body, host)
        if answer is not None and answer[0] == 200:
            self.accepted_invalid.append(
                f"{host} accepted invalid version {body['version']}"
            )

    async def read_configuration(self) -> None:
        """Read the configuration at a random node; record stale or wrong content."""
        sent_s = time.monotonic()
        newest = max(
            (
                c.version
                for c in self.configuration_changes
                if c.acknowledged_s + 2.0 < sent_s
            ),
            default=0,
        )
        host = self.random.choice(self.fleet.hosts)
        answer = await self.call("GET", "/-/configuration", None, host)
        if answer is None or answer[0] != 200:
            return
        self.reads += 1
        document = json.loads(answer[1])
        if document["version"] < newest:
            self.stale_reads.append(f"{host}: {document['version']} after {newest}")
        elif document != make_configuration(document["version"]):
            self.stale_reads.append(f"{host}: other content in {document['version']}")

    async def run(self, mean_interval_s: float) -> None:
        """Send random changes and reads until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * mean_interval_s)
            choice = self.random.random()
            if choice < 0.35:
                await self.change_configuration()
            elif choice < 0.42:
                await self.change_weight_version()
            elif choice < 0.55:
                await self.send_invalid()
            else:
                await self.read_configuration()
