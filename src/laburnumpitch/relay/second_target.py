"""Finds the second target of a late request, by the catalogue and the dispatcher.

Their restrictions hold for it as for any other send. Targets that are only used for
want of better ones are left out too: the request has a target already.
"""

from __future__ import annotations

import math
from dataclasses import replace

from ..fleet.load_totals import NO_LOAD
from ..fleet.messages import TargetRecord
from ..policy.hedging import HedgeOutlook
from .request import AdmittedRequest
from .services import RelayServices


def is_sound(services: RelayServices, target: TargetRecord) -> bool:
    """Whether a target is neither cold, leaving or shedding, nor suspect."""
    catalog = services.dispatcher.catalog
    return not (
        target.cold_s > 0
        or catalog.cold.is_cold(target)
        or target.has_said_leaving
        or catalog.leaving.get_age_s(target) is not None
        or catalog.shedding.is_shedding(target)
        or services.statistics.is_possibly_unreachable(target)
    )


def has_free_slot(services: RelayServices, target: TargetRecord) -> bool:
    """Whether a target has a slot for each request that it has, as far as is known.

    The last one of them is the second send itself.
    """
    other_load = services.fleet_view.other_loads.get(target.target_id, NO_LOAD)
    running = services.statistics.get(target.target_id).running
    return running + other_load.running <= max(1, target.slots)


def is_suspect(services: RelayServices, admitted: AdmittedRequest) -> bool:
    """Whether a request, or a piece of its prompt, may crash targets."""
    view = services.fleet_view
    suspects = view.suspect_requests | view.quarantined
    return services.crash_reports.is_suspect(admitted) or (
        bool(suspects) and admitted.fingerprint in suspects
    )


def list_avoided_ids(
    services: RelayServices, service: str, build: str
) -> frozenset[str]:
    """Return the targets of a service that get no second send."""
    targets = services.dispatcher.catalog.get_targets(service, build)
    return frozenset(t.target_id for t in targets if not is_sound(services, t))


def make_outlook(
    services: RelayServices,
    admitted: AdmittedRequest,
    build: str,
    excluded: frozenset[str],
    runs_left: int,
    remaining_s: float,
) -> HedgeOutlook:
    """Return what a second send of a request depends on, besides the latencies.

    Args:
        services: Services that all runs share.
        admitted: The request.
        build: Build that the target must have; empty for any.
        excluded: Targets that must not be chosen.
        runs_left: Further targets that the route allows.
        remaining_s: Time left until the request has to be answered.
    """
    dispatcher, service = services.dispatcher, admitted.service
    regions = dispatcher.catalog.region_rules.get_allowed_regions(admitted)
    return HedgeOutlook(
        runs_left=runs_left,
        remaining_s=remaining_s,
        is_suspect=is_suspect(services, admitted),
        has_other_target=dispatcher.catalog.has_other_target(
            service, build, excluded, regions
        ),
        is_loaded=any(
            queued.admitted.service == service for queued in dispatcher.queue.requests
        ),
        has_budget=services.retry_limiter.has_budget(service),
    )


def make_late_copy(admitted: AdmittedRequest) -> AdmittedRequest:
    """Return a request that holds a second placement, under the limits of late ones.

    Placements belong to an object. A request that is late in any case is placed only
    where the prefill backlog is small, so that a second send delays no other request.
    """
    return replace(admitted, request=replace(admitted.request, received_at_s=-math.inf))
