"""Describes targets to the placement policy by a node's own data."""

from __future__ import annotations

from ..fleet.load_totals import NO_LOAD
from ..fleet.messages import PlaceCall, TargetRecord
from ..policy.target_selection import TargetCandidate, estimate_other_nodes_load
from .target_catalog import TargetCatalog


def make_local_candidates(
    catalog: TargetCatalog, targets: list[TargetRecord], call: PlaceCall
) -> list[TargetCandidate]:
    """Return targets as candidates, with the load that this node estimates there.

    Args:
        catalog: The fleet's targets.
        targets: Targets to which this node may send the request.
        call: The request.
    """
    other_loads = catalog.fleet_view.other_loads
    reported = [other_loads.get(t.target_id, NO_LOAD).running for t in targets]
    mean_running = sum(reported) / len(targets) if targets else 0.0
    store = catalog.find_session_store(call)
    candidates = []
    for target, other_running in zip(targets, reported, strict=True):
        stats = catalog.statistics.get(target.target_id)
        running = stats.running + estimate_other_nodes_load(
            other_running, mean_running, stats.service_s
        )
        pending_tokens = stats.pending_prefill_tokens
        candidates.append(
            catalog.make_candidate(target, call, store, running, pending_tokens)
        )
    return candidates
