"""Reads the settings file that the platform provides for each process."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec

from ..errors import SettingsError
from ..logging import get_logger
from ..policy.client_budget import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_BYTES
from ..policy.cold_admission import ColdBounds
from ..policy.leaving_targets import DRAIN_S
from .wire_values import (
    MAX_DURATION_MS,
    MAX_PORT,
    Count,
    DurationMs,
    is_address,
    is_host,
)

MS_PER_S = 1000.0

BYTES_PER_MB = 1024 * 1024
MAX_MEMORY_MB = 1e9
"""Largest memory of a machine."""

MAX_RETRIES = 1e9
"""Largest number of retries, for each request or in a window."""

MAX_REQUESTS = 1e9
"""Largest number of requests in a second."""

MAX_RATIO = 1e6
"""Largest ratio of two rates."""

RpcPort = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT - 1)]
"""A port; the one after it has to be a port, too."""

DurationS = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS / MS_PER_S)]
MemoryMb = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_MEMORY_MB)]
Retries = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RETRIES)]
Requests = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_REQUESTS)]
Ratio = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATIO)]


class WireListen(msgspec.Struct):
    """Addresses to listen on: for clients, readiness checks, targets and operators."""

    frontend: str
    readiness: str
    control: str = ""


class WireBounds(msgspec.Struct):
    """Limits set by the platform's rules."""

    grace_s: DurationS = 8
    retry_budget_ratio: Retries = 0.2
    retry_window_s: DurationS = 10
    retry_slack: Retries = 50
    lease_ms: DurationMs = 3000
    version_ms: DurationMs = 12000
    catch_up_s: DurationS = 4
    drain_ms: DurationMs = 2000
    cold_overrun: Ratio = ColdBounds.overrun
    """Requests that a cold target may get in a second, relative to its rate."""
    cold_slack: Requests = ColdBounds.slack
    """Further requests that a cold target may get in a second."""


class WireLimits(msgspec.Struct):
    """Limits of the machine; 0 if they are not known."""

    memory_mb: MemoryMb = 0
    max_fds: Count = 0


class WireFaultTolerance(msgspec.Struct):
    """What may be lost at the same time."""

    machines: Count = 1


class WireSettings(msgspec.Struct):
    """The fields that are used; others are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: WireListen
    internal_ports: Annotated[list[RpcPort], msgspec.Meta(min_length=1)]
    seeds: list[str] = []
    is_bootstrap: bool = False
    region: str = ""
    zones: dict[str, str] = {}
    data_dir: str = ""
    heartbeat_ms: Annotated[float, msgspec.Meta(ge=1.0, le=MAX_DURATION_MS)] = 1200
    bounds: WireBounds = msgspec.field(default_factory=WireBounds)
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    fault_tolerance: WireFaultTolerance = msgspec.field(
        default_factory=WireFaultTolerance
    )


@dataclass(frozen=True)
class FleetSettings:
    """Settings of a node of the fleet."""

    node_id: str
    host: str
    data_centre: str
    client_address: str
    readiness_address: str
    control_address: str
    rpc_port: int
    metrics_port: int
    """Port of the counters and histograms; the one after `rpc_port`."""
    seed_hosts: tuple[str, ...]
    """Hosts of nodes to contact first; all nodes have the same ports."""
    is_first_start: bool
    """Whether the fleet starts for the first time and has to be bootstrapped."""
    data_folder: str
    """Folder of the node's data; empty on a node without a disk."""
    announce_interval_s: float
    """Interval at which targets announce themselves."""
    termination_grace_s: float
    """Time between SIGTERM and SIGKILL."""
    retry_ratio: float
    """Retries for each request that the fleet may send."""
    retry_window_s: float
    """Length of the sliding window in which requests and retries are counted."""
    retry_slack: float
    """Further retries that the whole fleet may send in a window."""
    outdated_weights_s: float
    """Time from naming a weight version until no request may begin on older weights."""
    order_lease_s: float
    """Time that must pass between orders of two different leaders to engines."""
    tolerated_losses: int
    """Number of VMs with a disk that may be lost at the same time."""
    catch_up_s: float
    """Time after which a VM that has started replaces a lost one."""
    drain_s: float = DRAIN_S
    """Time for which a target that is leaving still serves."""
    regions_by_data_centre: dict[str, str] = field(default_factory=dict)
    """Region of each data centre that is known to have one."""
    cold_overrun: float = ColdBounds.overrun
    """Requests that a cold target may get in a second, relative to its rate."""
    cold_slack: float = ColdBounds.slack
    """Further requests that a cold target may get in a second."""
    repeated_sends_share: float = 0.0
    """Late requests sent to a second target, at most, for each request; 0 for none."""
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    """Memory of the machine."""
    max_descriptors: int = DEFAULT_DESCRIPTORS
    """Descriptors that the process may have open."""


def get_host(address: str) -> str:
    """Return the host part of `host:port`."""
    return address.rpartition(":")[0]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_addresses(path: str, wire: WireSettings) -> None:
    """Check that this node's addresses can be listened on.

    Raises:
        SettingsError: If one cannot; names the first one.
    """
    listen = wire.listen
    addresses = [listen.frontend, listen.readiness]
    if listen.control:
        addresses.append(listen.control)
    for address in addresses:
        if not is_address(address):
            raise SettingsError(f"{path}: invalid address {address[:60]!r}")
    if not is_host(wire.ip):
        raise SettingsError(f"{path}: invalid ip {wire.ip[:60]!r}")


def list_seed_hosts(seeds: list[str]) -> tuple[str, ...]:
    """Return the hosts of the seeds; one that is no address is left out."""
    invalid = [seed for seed in seeds if not is_address(seed)]
    if invalid:
        log = get_logger()
        log.warning("seeds_invalid", seeds=[seed[:60] for seed in invalid])
    return tuple(dict.fromkeys(get_host(s) for s in seeds if s not in invalid))


def make_regions(wire: WireSettings) -> dict[str, str]:
    """Return the region of each data centre; the node's own one may be left out."""
    own_region = {wire.zone: wire.region} if wire.region else {}
    return own_region | wire.zones


def read_settings(path: str) -> FleetSettings:
    """Read the settings file.

    Raises:
        SettingsError: If it is missing, unreadable or malformed, or a value is out of
            its bounds.
    """
    try:
        data = tomllib.loads(Path(path).read_text())
        wire = msgspec.convert(data, WireSettings)
    except (OSError, ValueError, RecursionError, msgspec.MsgspecError) as error:
        raise SettingsError(f"{path}: {error}") from error
    check_addresses(path, wire)
    bounds = wire.bounds
    return FleetSettings(
        node_id=wire.node_name,
        host=wire.ip,
        data_centre=wire.zone,
        client_address=wire.listen.frontend,
        readiness_address=wire.listen.readiness,
        control_address=wire.listen.control,
        rpc_port=wire.internal_ports[0],
        metrics_port=wire.internal_ports[0] + 1,
        seed_hosts=list_seed_hosts(wire.seeds),
        is_first_start=wire.is_bootstrap,
        data_folder=wire.data_dir,
        announce_interval_s=wire.heartbeat_ms / MS_PER_S,
        termination_grace_s=float(bounds.grace_s),
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.retry_window_s,
        retry_slack=bounds.retry_slack,
        outdated_weights_s=bounds.version_ms / MS_PER_S,
        order_lease_s=bounds.lease_ms / MS_PER_S,
        tolerated_losses=wire.fault_tolerance.machines,
        catch_up_s=float(bounds.catch_up_s),
        drain_s=bounds.drain_ms / MS_PER_S,
        regions_by_data_centre=make_regions(wire),
        cold_overrun=bounds.cold_overrun,
        cold_slack=bounds.cold_slack,
        memory_bytes=int(wire.limits.memory_mb * BYTES_PER_MB) or DEFAULT_MEMORY_BYTES,
        max_descriptors=wire.limits.max_fds or DEFAULT_DESCRIPTORS,
    )
