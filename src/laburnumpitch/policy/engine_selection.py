"""Chooses a target by predicted time to first token and context recomputed."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Protocol

from ..targets.protocols import BlockRef
from .selection_types import (
    EngineCandidate,
    LinkState,
    PieceLocations,
    Plan,
    RequestShape,
    SelectionInput,
    StoredBlock,
)

DISK_LATENCY_S = 0.01
"""Additional time before the first byte of a block on disk."""

REMOTE_LATENCY_S = 0.001
"""Additional time towards a target in another data centre."""

IMPORT_TIMEOUT_FACTOR = 2.0
"""Multiple of the predicted reading time for which an engine waits at least."""

MIN_IMPORT_TIMEOUT_S = 0.02
"""Shortest time for which an engine waits for its imports."""

TIE_TOLERANCE_S = 0.002
"""Costs that differ by less are a tie, which chance decides."""

RECOMPUTE_WEIGHT = 2.0
"""Cost of a second of recomputation, to organisations that weigh only that."""


class SelectionPolicy(Protocol):
    """A way to choose a target."""

    def choose(self, inputs: SelectionInput) -> Plan | None:
        """Return a plan, or None if there is no candidate."""


@dataclass(frozen=True)
class ContextPlan:
    """Where the context of one candidate would come from."""

    imports: tuple[BlockRef, ...]
    reused_pieces: int
    recomputed_tokens: int
    import_s: float
    prefill_s: float


def estimate_wait_s(candidate: EngineCandidate) -> float:
    """Return the time until a new request would get a slot."""
    requests_ahead = candidate.running + candidate.queued + candidate.unreported
    excess_requests = max(0, requests_ahead - candidate.slots + 1)
    prefill_tokens = candidate.queued_prefill_tokens + candidate.unreported_tokens
    prefill_s = prefill_tokens / candidate.prefill_tokens_per_s
    return prefill_s + excess_requests * candidate.service_s / candidate.slots


class LinkQueues:
    """Reading times over store links while one plan is made.

    Args:
        links: Link of each store.
    """

    def __init__(self, links: dict[str, LinkState]) -> None:
        self.links = links
        self.planned_bytes: dict[str, int] = {}

    def estimate_read_s(self, block: StoredBlock) -> float:
        """Return the time until a block would be read, behind what is queued."""
        link = self.links.get(block.ref.store_id)
        if link is None:
            return float("inf")
        planned = self.planned_bytes.get(block.ref.store_id, 0)
        total_bytes = link.queued_bytes + planned + block.ref.length
        latency_s = link.latency_s + (DISK_LATENCY_S if block.is_on_disk else 0.0)
        return latency_s + total_bytes / link.bytes_per_s

    def add_read(self, block: StoredBlock) -> None:
        """Count a block that the plan reads."""
        store_id = block.ref.store_id
        planned = self.planned_bytes.get(store_id, 0)
        self.planned_bytes[store_id] = planned + block.ref.length


def find_missing_pieces(
    inputs: SelectionInput, candidate: EngineCandidate
) -> list[PieceLocations]:
    """Return the pieces that are not in a candidate's memory."""
    missing = [
        locations
        for locations in inputs.piece_locations
        if candidate.target_id not in locations.engines
    ]
    unknown_count = len(inputs.shape.pieces) - len(inputs.piece_locations)
    return missing + [PieceLocations()] * unknown_count


def rank_imports(
    queues: LinkQueues, missing: list[PieceLocations]
) -> list[StoredBlock]:
    """Return each missing piece's best block, those over the best links first."""
    best_blocks = [
        min(locations.blocks, key=queues.estimate_read_s)
        for locations in missing
        if locations.blocks
    ]
    return sorted(best_blocks, key=queues.estimate_read_s)


def plan_context(inputs: SelectionInput, candidate: EngineCandidate) -> ContextPlan:
    """Decide which missing pieces are read and which are computed.

    The wait for a link is paid once for all pieces read over it, so the number
    of reads is chosen by the cost of the whole plan and not piece by piece.
    """
    shape = inputs.shape
    missing = find_missing_pieces(inputs, candidate)
    queues = LinkQueues(inputs.links)
    ranked_blocks = rank_imports(queues, missing)
    missing_tokens = shape.tail_tokens + len(missing) * shape.piece_tokens
    tokens_per_s = candidate.prefill_tokens_per_s
    import_s = 0.0
    best_count, best_import_s = 0, 0.0
    best_cost = get_context_cost(shape, 0.0, missing_tokens / tokens_per_s)
    for count, block in enumerate(ranked_blocks, start=1):
        import_s = max(import_s, queues.estimate_read_s(block))
        queues.add_read(block)
        prefill_s = (missing_tokens - count * shape.piece_tokens) / tokens_per_s
        cost = get_context_cost(shape, import_s, prefill_s)
        if cost < best_cost:
            best_count, best_cost, best_import_s = count, cost, import_s
    recomputed_tokens = missing_tokens - best_count * shape.piece_tokens
    return ContextPlan(
        tuple(block.ref for block in ranked_blocks[:best_count]),
        len(shape.pieces) - len(missing),
        recomputed_tokens,
        best_import_s,
        recomputed_tokens / tokens_per_s,
    )


def get_context_cost(shape: RequestShape, import_s: float, prefill_s: float) -> float:
    """Return what building a context costs, in seconds.

    Recomputation counts again by as much as the organisation weighs the share
    recomputed against the time to first token.
    """
    extra_weight = RECOMPUTE_WEIGHT * (1.0 - shape.first_token_weight)
    return import_s + prefill_s * (1.0 + extra_weight)


def get_import_timeout_s(
    shape: RequestShape, candidate: EngineCandidate, context: ContextPlan
) -> float:
    """Return how long an engine waits for its reads before it recomputes.

    To wait for as long as recomputing takes costs at most twice the better of
    the two, whatever the link does.
    """
    imported_tokens = len(context.imports) * shape.piece_tokens
    return max(
        MIN_IMPORT_TIMEOUT_S,
        IMPORT_TIMEOUT_FACTOR * context.import_s,
        imported_tokens / candidate.prefill_tokens_per_s,
    )


def make_plan(
    shape: RequestShape,
    candidate: EngineCandidate,
    context: ContextPlan,
    first_token_s: float,
) -> Plan:
    """Return a plan for a candidate."""
    return Plan(
        candidate.target_id,
        context.imports,
        context.reused_pieces,
        context.recomputed_tokens,
        first_token_s,
        get_import_timeout_s(shape, candidate, context),
    )


class LeastPredictedCost:
    """Chooses the candidate whose plan costs least."""

    def choose(self, inputs: SelectionInput) -> Plan | None:
        """Return a plan, or None if there is no candidate."""
        costed_plans = []
        for candidate in inputs.candidates:
            context = plan_context(inputs, candidate)
            wait_s = estimate_wait_s(candidate)
            network_latency_s = (
                0.0 if candidate.is_same_data_centre else REMOTE_LATENCY_S
            )
            cost = wait_s + network_latency_s
            cost += get_context_cost(inputs.shape, context.import_s, context.prefill_s)
            first_token_s = wait_s + context.import_s + context.prefill_s
            plan = make_plan(inputs.shape, candidate, context, first_token_s)
            costed_plans.append((cost, plan))
        if not costed_plans:
            return None
        lowest_cost = min(cost for cost, _ in costed_plans)
        tied_plans = [
            plan for cost, plan in costed_plans if cost - lowest_cost <= TIE_TOLERANCE_S
        ]
        # Equal targets share new work by chance, since every node sees the same
        # lagged reports.
        return tied_plans[int(inputs.tie_break * len(tied_plans)) % len(tied_plans)]


def plan_without_imports(inputs: SelectionInput, candidate: EngineCandidate) -> Plan:
    """Return a plan that uses only the candidate's own memory."""
    context = plan_context(
        SelectionInput(inputs.shape, inputs.candidates, inputs.piece_locations),
        candidate,
    )
    first_token_s = estimate_wait_s(candidate) + context.prefill_s
    return make_plan(inputs.shape, candidate, context, first_token_s)


class LeastLoaded:
    """Baseline: the target with the fewest requests; no imports."""

    def choose(self, inputs: SelectionInput) -> Plan | None:
        """Return a plan, or None if there is no candidate."""
        if not inputs.candidates:
            return None
        loads = [
            item.running + item.queued + item.unreported for item in inputs.candidates
        ]
        lowest_load = min(loads)
        tied_candidates = [
            item for item, load in zip(inputs.candidates, loads) if load == lowest_load
        ]
        candidate = tied_candidates[
            int(inputs.tie_break * len(tied_candidates)) % len(tied_candidates)
        ]
        return plan_without_imports(inputs, candidate)


class PrefixAffinity:
    """Baseline: rendezvous hash of the first piece over all targets; no imports."""

    def choose(self, inputs: SelectionInput) -> Plan | None:
        """Return a plan, or None if there is no candidate."""
        if not inputs.candidates:
            return None
        key = inputs.shape.pieces[0] if inputs.shape.pieces else str(inputs.tie_break)
        candidate = max(
            inputs.candidates,
            key=lambda item: get_rendezvous_weight(key, item.target_id),
        )
        return plan_without_imports(inputs, candidate)


def get_rendezvous_weight(key: str, member: str) -> int:
    """Return a member's rank for a key in rendezvous hashing.

    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
    Rendezvous", 1996.
    """
    digest = hashlib.blake2b(f"{key}\x00{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


POLICIES: dict[str, type[SelectionPolicy]] = {
    "laburnumpitch": LeastPredictedCost,
    "least_loaded": LeastLoaded,
    "prefix_affinity": PrefixAffinity,
}
"""Policies by the name in settings and benchmarks."""
