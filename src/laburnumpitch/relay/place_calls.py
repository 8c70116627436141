"""Makes the calls that request placements."""

from __future__ import annotations

from ..fleet.messages import PlaceCall
from ..policy.backlog_bound import get_max_backlog_s
from ..policy.queue_priority import QueuePriority, can_meet_objective
from .request import AdmittedRequest
from .request_queue import make_priority
from .target_catalog import TargetCatalog


def make_place_call(
    catalog: TargetCatalog,
    admitted: AdmittedRequest,
    excluded: frozenset[str],
    build: str,
    now_s: float,
) -> PlaceCall:
    """Return the call that requests a placement.

    Args:
        catalog: The fleet's targets.
        admitted: The request.
        excluded: Targets that must not be chosen.
        build: Build that the target must have; empty for any.
        now_s: Monotonic time.
    """
    metadata = admitted.metadata
    service = admitted.service
    allowed_regions = catalog.region_rules.get_allowed_regions(admitted)
    backoff_ids = [
        target.target_id
        for target in catalog.get_targets(service)
        if catalog.statistics.is_in_backoff(target)
    ]
    avoided_ids = catalog.list_avoided_ids(service, build, allowed_regions)
    return PlaceCall(
        service=service,
        key=metadata.affinity_key if admitted.route.has_context else "",
        model=metadata.model,
        prompt_tokens=metadata.prompt_tokens,
        shared_tokens=metadata.shared_tokens,
        output_tokens=metadata.output_tokens,
        objective_s=admitted.route.objective_s,
        max_backlog_s=find_max_backlog_s(
            catalog, admitted, make_priority(admitted), now_s
        ),
        data_centre=catalog.fleet_view.node.data_centre,
        excluded=sorted(excluded.union(avoided_ids)),
        suspects=backoff_ids,
        is_resumable=admitted.route.is_resumable,
        build=build,
        allowed_regions=allowed_regions,
        cold=catalog.cold.list_news(service),
    )


def find_max_backlog_s(
    catalog: TargetCatalog,
    admitted: AdmittedRequest,
    priority: QueuePriority,
    now_s: float,
) -> float:
    """Return the largest prefill backlog that a request may find at its target."""
    configuration = catalog.fleet_view.configuration
    kinds = configuration.context_kinds.get(admitted.service, ())
    is_late = not can_meet_objective(priority, now_s)
    return get_max_backlog_s(admitted.route.request_kind, kinds, is_late)
