"""Refuses requests that no target of their service will run."""

from __future__ import annotations

from collections.abc import Container

from ..errors import EvacuatedError, NoTargetError
from .request_queue import QueueKey
from .target_catalog import TargetCatalog


def make_refusal(
    catalog: TargetCatalog, key: QueueKey, excluded: Container[str]
) -> NoTargetError:
    """Return the error of a request for which a service has no target left.

    Args:
        catalog: The fleet's targets.
        key: Service, build and allowed regions of the request.
        excluded: Targets that are excluded.
    """
    service, build, allowed_regions = key
    if not catalog.fleet_view.evacuated:
        return NoTargetError(f"{service} has no target")
    targets = catalog.by_service.get(service, [])
    left = [
        target
        for target in catalog.region_rules.select_allowed(targets, allowed_regions)
        if target.target_id not in excluded and build in ("", target.build)
    ]
    if left and not catalog.select_in_service(left):
        return EvacuatedError(f"all targets of {service} are evacuated")
    return NoTargetError(f"{service} has no target")


def find_refusal(
    catalog: TargetCatalog, key: QueueKey, excluded: Container[str]
) -> NoTargetError | None:
    """Return the error of a queued request that no target will run, or None.

    All targets that may run it are evacuated, or all targets of the service ask
    this node for no requests.

    Args:
        catalog: The fleet's targets.
        key: Service, build and allowed regions of the request.
        excluded: Targets that are excluded.
    """
    refusal = make_refusal(catalog, key, excluded)
    if isinstance(refusal, EvacuatedError):
        return refusal
    if catalog.has_only_shedding(*key):
        return NoTargetError(f"targets of {key[0]} want no requests")
    return None
