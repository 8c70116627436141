"""Explains the choice of a target by a coordinator, or by a node's own data.

The functions that choose are asked; nothing is assigned, counted or recorded.
"""

from __future__ import annotations

import asyncio
import copy
from collections.abc import Callable, Mapping, Sequence
from random import Random

from ..errors import NotCoordinatorError
from ..fleet.explain_messages import ExplainPlace, PlaceExplanation, TargetExplanation
from ..fleet.messages import PlaceCall, TargetRecord
from ..policy.cost_parts import split_cost
from ..policy.placement_ledger import PlacementLedger
from ..policy.target_selection import (
    MAX_NODES_COMPARING_ALL,
    PREFILL_TOKENS_PER_S,
    TargetCandidate,
    choose_target,
    find_affinity_target,
    prefer_reachable,
)
from .coordinator import Coordinator
from .dispatcher import Dispatcher
from .local_candidates import make_local_candidates
from .target_catalog import TargetCatalog

EXCLUDED_BY_CALLER = "excluded by the calling node"
"""Reason of a target that the call for a placement excludes."""

PAUSE_INTERVAL = 40
"""Number of targets after which other tasks run. 720 engines took 33 ms in all, and
calls for placements wait for 30 ms only."""

UNREACHABLE = "unreachable"
"""Reason of a target that may not answer, while others may, or one was just probed."""


class PlacementExplanations:
    """Explains choices of this node.

    Args:
        coordinator: This node's own coordinator.
        dispatcher: Chooses targets by this node's own data.
    """

    def __init__(self, coordinator: Coordinator, dispatcher: Dispatcher) -> None:
        self.coordinator = coordinator
        self.dispatcher = dispatcher
        self.random = Random()
        """Breaks ties; not the source that serves, whose state would change."""

    async def on_explain_place(self, call: ExplainPlace) -> PlaceExplanation:
        """Return the placement that this node would assign as coordinator.

        Raises:
            NotCoordinatorError: If this node is not the service's coordinator.
        """
        return await self.explain_assignment(call.call)

    async def explain_assignment(self, call: PlaceCall) -> PlaceExplanation:
        """Return the placement that this node would assign as coordinator.

        Raises:
            NotCoordinatorError: If this node is not the service's coordinator.
        """
        coordinator = self.coordinator
        ledger = coordinator.ledgers.get(call.service)
        if ledger is None:
            if not coordinator.is_assigned(call.service):
                raise NotCoordinatorError(call.service)
            ledger = PlacementLedger()
        now_s = coordinator.get_time_s()
        if ledger.has_expired(now_s):
            # The next placement would release these first.
            ledger = copy.deepcopy(ledger)
            ledger.expire(now_s)
        reasons = coordinator.catalog.list_exclusions(call, by_node=False)
        for target_id in call.excluded:
            reasons.setdefault(target_id, EXCLUDED_BY_CALLER)
        for target_id in call.suspects:
            reasons.setdefault(target_id, "backoff")
        targets = coordinator.list_targets(call)
        for target in targets:
            if shortage := coordinator.find_shortage(ledger, target, call):
                reasons[target.target_id] = shortage
        candidates, are_others_full = coordinator.make_candidates(ledger, targets, call)
        candidates = coordinator.probe_schedule.find_open(
            candidates, are_others_full, now_s
        )
        rate = ledger.prefill_rate.tokens_per_s

        def get_load(target: TargetRecord) -> tuple[float, int]:
            usage = ledger.get_usage(target.target_id)
            return usage.running, usage.pending_prefill_tokens

        return await self.make_explanation(
            coordinator.catalog, call, reasons, candidates, get_load, 1, rate
        )

    async def explain_local_choice(
        self, call: PlaceCall, blocked_by: str = ""
    ) -> PlaceExplanation:
        """Return what this node would choose without a coordinator.

        Args:
            call: The call for which a coordinator gave no placement.
            blocked_by: Reason for which the node chooses no target now; empty for none.
        """
        dispatcher = self.dispatcher
        catalog = dispatcher.catalog
        reasons = catalog.list_exclusions(call, by_node=True)
        for target in catalog.get_targets(
            call.service, call.build, call.allowed_regions
        ):
            if reason := dispatcher.find_local_exclusion(target, call):
                reasons.setdefault(target.target_id, reason)
        targets = dispatcher.list_local_targets(call)
        candidates = make_local_candidates(catalog, targets, call)

        def get_load(target: TargetRecord) -> tuple[float, int]:
            stats = catalog.statistics.get(target.target_id)
            return stats.running, stats.pending_prefill_tokens

        return await self.make_explanation(
            catalog,
            call,
            reasons,
            candidates,
            get_load,
            catalog.fleet_view.node_count,
            PREFILL_TOKENS_PER_S,
            blocked_by=blocked_by,
        )

    async def make_explanation(
        self,
        catalog: TargetCatalog,
        call: PlaceCall,
        reasons: Mapping[str, str],
        candidates: Sequence[TargetCandidate],
        get_load: Callable[[TargetRecord], tuple[float, int]],
        node_count: int,
        prefill_tokens_per_s: float,
        blocked_by: str = "",
    ) -> PlaceExplanation:
        """Return the explanation of a choice.

        Args:
            catalog: The fleet's targets.
            call: The request.
            reasons: Why targets are excluded, by target.
            candidates: Targets between which the policy chooses.
            get_load: Returns the requests and the pending prefill tokens at a target.
            node_count: Number of nodes that choose independently.
            prefill_tokens_per_s: Prefill rate of a target.
            blocked_by: Reason for which no target is chosen now.
        """
        tie_breaks = [self.random.random() for _ in candidates]
        chosen = choose_target(
            candidates, call.key, tie_breaks, node_count, prefill_tokens_per_s
        )
        pairs = list(zip(candidates, tie_breaks, strict=True))
        preferred = [candidate for candidate, _ in prefer_reachable(pairs)]
        affinity_target_id = find_affinity_target(preferred, call.key)
        by_id = {candidate.target_id: candidate for candidate in preferred}
        fleet_view = catalog.fleet_view
        now_s = fleet_view.get_time_s()
        targets = []
        for index, entry in enumerate(list(fleet_view.targets.entries.values())):
            if index % PAUSE_INTERVAL == PAUSE_INTERVAL - 1:
                await asyncio.sleep(0)
            target = entry.record
            if target.service != call.service or target.is_gone:
                continue
            target_id = target.target_id
            candidate = by_id.get(target_id)
            running, pending_tokens = get_load(target)
            reason = reasons.get(target_id, UNREACHABLE)
            parts_s = {}
            if candidate is not None:
                reason, running = "", candidate.running
                parts_s = split_cost(
                    candidate, affinity_target_id, prefill_tokens_per_s
                )
            targets.append(
                TargetExplanation(
                    target_id,
                    target.data_centre,
                    catalog.region_rules.get_region(target.data_centre),
                    reason,
                    now_s - entry.last_seen_s,
                    target.slots,
                    running,
                    pending_tokens,
                    sum(parts_s.values()),
                    parts_s,
                )
            )
        configuration = fleet_view.configuration
        chosen_id = chosen.target_id if chosen and not blocked_by else ""
        return PlaceExplanation(
            fleet_view.node.host,
            fleet_view.get_contact_age_s(),
            configuration.version if configuration else -1,
            sorted(targets, key=lambda t: (bool(t.excluded_by), t.cost_s, t.target_id)),
            chosen_id,
            list_tied(targets, chosen_id),
            node_count > MAX_NODES_COMPARING_ALL,
            blocked_by,
        )


def list_tied(targets: Sequence[TargetExplanation], chosen_id: str) -> list[str]:
    """Return the candidates that have the same cost as the chosen one."""
    costs_s = {t.target_id: t.cost_s for t in targets if not t.excluded_by}
    chosen_cost_s = costs_s.get(chosen_id)
    return sorted(
        target_id
        for target_id, cost_s in costs_s.items()
        if cost_s == chosen_cost_s and target_id != chosen_id
    )
