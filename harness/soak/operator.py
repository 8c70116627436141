"""The operator of a soak: configurations, keys and weight versions."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from random import Random

from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.transport.http_client import HttpClient

from .fleet import SoakFleet

HOST = "soak.example"
ORGANISATIONS = ("alone", "north", "south")
ISOLATED = frozenset(("alone",))
ROTATING = "south"
"""Organisation whose key changes with each configuration."""

CALL_S = 1.5
"""Time for one call."""

STEP_ROUTES = 2
"""Configurations through which a numbered route and key stay."""

MODEL = "m"
PLAIN = ("shop-a", "shop-b")
ENGINES = "models"


@dataclass
class Change:
    """A configuration that was sent."""

    version: int
    sent_s: float
    acknowledged_s: float = float("inf")


@dataclass
class Named:
    """A weight version that was named."""

    version: int
    sent_s: float
    acknowledged_s: float = float("inf")


def get_step_path(version: int) -> str:
    """Return the path that a configuration adds."""
    return f"/step-{version}/"


def get_rotating_key(version: int) -> str:
    """Return the key that a configuration adds."""
    return f"key-{ROTATING}-{version}"


def make_route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route at /NAME/."""
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
    """Return a configuration; each moves a route, adds one and drops one."""
    kept = range(max(1, version - STEP_ROUTES + 1), version + 1)
    context = {"sticky": True, "gap_target_ms": 300}
    routes = [
        make_route("order", "non_idempotent", "shop-a"),
        make_route("read", "idempotent", "shop-b", max_attempts=2),
        make_route("moved", "idempotent", PLAIN[version % 2], max_attempts=2),
        make_route("ask", "streaming", ENGINES, **context),
        make_route(
            "resumed",
            "streaming",
            ENGINES,
            max_attempts=2,
            resumable=True,
            **context,
        ),
        *(make_route(f"step-{n}", "idempotent", "shop-a") for n in kept),
    ]
    tenants = [
        {"name": n, "api_keys": [f"key-{n}"], "isolated": n in ISOLATED}
        for n in ORGANISATIONS
        if n != ROTATING
    ]
    rotating = [get_rotating_key(n) for n in kept]
    tenants.append({"name": ROTATING, "api_keys": rotating})
    engine = {"slots": 16, "kv_capacity": 60000, "kv_bytes": 1000}
    return {
        "version": version,
        "routes": routes,
        "services": [
            *({"name": name} for name in PLAIN),
            {"name": ENGINES, "engine": {**engine, "models": [{"name": MODEL}]}},
        ],
        "tenants": tenants,
    }


@dataclass
class Operator:
    """Changes configurations and weights, and reads back."""

    fleet: SoakFleet
    random: Random
    changes: list[Change] = field(default_factory=list)
    named: list[Named] = field(default_factory=list)
    stale_reads: list[str] = field(default_factory=list)
    reads: int = 0
    invalid_taken: list[str] = field(default_factory=list)
    invalid_sent: int = 0

    async def call(self, method: str, path: str, body: dict | None, host: str):
        """Call one node; return status and body, or None without an answer."""
        client = HttpClient(f"{host}:{self.fleet.control_port}")
        content = json.dumps(body).encode() if body is not None else b""
        try:
            answer = await client.request(
                method, path, [], content, first_byte_timeout_s=CALL_S
            )
            return answer.status, await answer.read()
        except LaburnumpitchError:
            # No answer is an outcome of its own here.
            return None
        finally:
            client.close()

    async def send_until_taken(self, method: str, path: str, body: dict) -> None:
        """Send a change to one node after the other until one acknowledges."""
        while True:
            answer = await self.call(
                method, path, body, self.random.choice(self.fleet.hosts)
            )
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)

    async def change(self) -> None:
        """Put the next configuration in force."""
        change = Change(len(self.changes) + 1, time.monotonic())
        self.changes.append(change)
        body = make_configuration(change.version)
        await self.send_until_taken("PUT", "/-/configuration", body)
        change.acknowledged_s = time.monotonic()

    async def name_weights(self) -> None:
        """Name the next weight version."""
        named = Named(len(self.named) + 2, time.monotonic())
        self.named.append(named)
        body = {"model": MODEL, "version": named.version}
        await self.send_until_taken("POST", "/-/version-put", body)
        named.acknowledged_s = time.monotonic()

    async def send_invalid(self) -> None:
        """Send a configuration that names an unknown service."""
        body = make_configuration(len(self.changes) + 1)
        body["routes"][0]["service"] = "unknown"
        self.invalid_sent += 1
        host = self.random.choice(self.fleet.hosts)
        answer = await self.call("PUT", "/-/configuration", body, host)
        if answer is not None and answer[0] == 200:
            self.invalid_taken.append(f"{host} took version {body['version']}")

    async def read(self) -> None:
        """Read the configuration at any node."""
        sent_s = time.monotonic()
        newest = max(
            (c.version for c in self.changes if c.acknowledged_s + 2.0 < sent_s),
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

    async def run(self, pause_s: float) -> None:
        """Change, name and read until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * pause_s)
            choice = self.random.random()
            if choice < 0.35:
                await self.change()
            elif choice < 0.42:
                await self.name_weights()
            elif choice < 0.55:
                await self.send_invalid()
            else:
                await self.read()
