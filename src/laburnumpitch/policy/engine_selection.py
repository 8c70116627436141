"""Selects an engine for a completion and plans where its context comes from.

The default policy minimises the predicted time to first token plus a weighted cost of
recomputing context that is kept elsewhere.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Protocol

from ..targets.protocols import BlockRef
from .selection_types import (
    BlockLocation,
    EngineCandidate,
    LinkState,
    PieceLocations,
    Plan,
    RequestShape,
    SelectionInput,
)

DISK_LATENCY_S = 0.01
"""Additional latency to the first byte of a block that a store holds on disk."""

REMOTE_LATENCY_S = 0.001
"""Additional network latency to a target in another data centre."""

IMPORT_TIMEOUT_FACTOR = 2.0
"""Minimum import timeout as a multiple of the predicted import time."""

MIN_IMPORT_TIMEOUT_S = 0.02
"""Lower bound of the import timeout."""

TIE_TOLERANCE_S = 0.002
"""Largest cost difference that counts as a tie; ties are broken at random."""

RECOMPUTE_WEIGHT = 2.0
"""Additional cost of a second of recomputation for an organisation with a first-token
weight of 0, which cares only about the share of context that is recomputed."""


class SelectionPolicy(Protocol):
    """Selects an engine for a request."""

    def choose(self, inputs: SelectionInput) -> Plan | None:
        """Return the plan for the selected engine, or None without candidates."""


@dataclass(frozen=True)
class ContextPlan:
    """How one candidate would obtain the context of a request."""

    imports: tuple[BlockRef, ...]
    reused_pieces: int
    recomputed_tokens: int
    import_s: float
    """Predicted time to import blocks from stores."""
    prefill_s: float
    """Predicted time to compute the remaining tokens."""


def estimate_wait_s(candidate: EngineCandidate) -> float:
    """Return the predicted queueing time of a new request at a candidate."""
    requests_ahead = candidate.running + candidate.queued + candidate.unreported
    excess_requests = max(0, requests_ahead - candidate.slots + 1)
    prefill_tokens = candidate.queued_prefill_tokens + candidate.unreported_tokens
    prefill_s = prefill_tokens / candidate.prefill_tokens_per_s
    return prefill_s + excess_requests * candidate.service_s / candidate.slots


class LinkQueues:
    """Predicts how long block reads take, with the planned reads over the same link.

    Args:
        links: Link state by store.
    """

    def __init__(self, links: dict[str, LinkState]) -> None:
        self.links = links
        self.planned_bytes: dict[str, int] = {}

    def estimate_read_s(self, block: BlockLocation) -> float:
        """Return the predicted time to read a block after queued and planned reads."""
        link = self.links.get(block.ref.store_id)
        if link is None:
            return float("inf")
        planned = self.planned_bytes.get(block.ref.store_id, 0)
        total_bytes = link.queued_bytes + planned + block.ref.length
        latency_s = link.latency_s + (DISK_LATENCY_S if block.is_on_disk else 0.0)
        return latency_s + total_bytes / link.bytes_per_s

    def add_read(self, block: BlockLocation) -> None:
        """Add a block to the planned reads of its link."""
        store_id = block.ref.store_id
        planned = self.planned_bytes.get(store_id, 0)
        self.planned_bytes[store_id] = planned + block.ref.length


def find_missing_pieces(
    inputs: SelectionInput, candidate: EngineCandidate
) -> list[PieceLocations]:
    """Return the locations of the pieces that are not in a candidate's memory.

    Pieces of unknown location are included as pieces without any location.
    """
    missing = [
        locations
        for locations in inputs.piece_locations
        if candidate.target_id not in locations.engines
    ]
    unknown_count = len(inputs.shape.pieces) - len(inputs.piece_locations)
    return missing + [PieceLocations()] * unknown_count


def rank_imports(
    queues: LinkQueues, missing: list[PieceLocations]
) -> list[BlockLocation]:
    """Return the fastest block of each missing piece, sorted by predicted read time."""
    best_blocks = [
        min(locations.blocks, key=queues.estimate_read_s)
        for locations in missing
        if locations.blocks
    ]
    return sorted(best_blocks, key=queues.estimate_read_s)


def plan_context(inputs: SelectionInput, candidate: EngineCandidate) -> ContextPlan:
    """Decide which missing pieces to import and which to recompute.

    The queueing delay of a link is paid once for all pieces read over it, so the
    number of imports minimises the cost of the whole plan, not of each piece.
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
    """Return the weighted cost of building a context, in seconds.

    Recomputation costs more the more weight the organisation gives to the share of
    recomputed context relative to the time to first token.
    """
    extra_weight = RECOMPUTE_WEIGHT * (1.0 - shape.first_token_weight)
    return import_s + prefill_s * (1.0 + extra_weight)


def get_import_timeout_s(
    shape: RequestShape, candidate: EngineCandidate, context: ContextPlan
) -> float:
    """Return how long an engine waits for its imports before it recomputes.

    Waiting for as long as recomputation would take costs at most twice the better of
    the two alternatives, whatever the link does.
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
    """Return the plan that runs a request on a candidate."""
    return Plan(
        candidate.target_id,
        context.imports,
        context.reused_pieces,
        context.recomputed_tokens,
        first_token_s,
        get_import_timeout_s(shape, candidate, context),
    )


class LeastPredictedCost:
    """Selects the candidate whose plan has the lowest predicted cost."""

    def choose(self, inputs: SelectionInput) -> Plan | None:
        """Return the plan for the selected engine, or None without candidates."""
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
        # All nodes see the same delayed load reports, so a deterministic tie-break
        # would send their requests to the same engine.
        return tied_plans[int(inputs.tie_break * len(tied_plans)) % len(tied_plans)]


def plan_without_imports(inputs: SelectionInput, candidate: EngineCandidate) -> Plan:
    """Return a plan that reuses only context in the candidate's own memory."""
    context = plan_context(
        SelectionInput(inputs.shape, inputs.candidates, inputs.piece_locations),
        candidate,
    )
    first_token_s = estimate_wait_s(candidate) + context.prefill_s
    return make_plan(inputs.shape, candidate, context, first_token_s)


class LeastLoaded:
    """Baseline: selects the engine with the fewest requests; no imports."""

    def choose(self, inputs: SelectionInput) -> Plan | None:
        """Return the plan for the selected engine, or None without candidates."""
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
    """Baseline: selects by rendezvous hash of the first piece over all engines; no
    imports.
    """

    def choose(self, inputs: SelectionInput) -> Plan | None:
        """Return the plan for the selected engine, or None without candidates."""
        if not inputs.candidates:
            return None
        # A prompt without a complete piece has no context to reuse: any engine will do.
        key = inputs.shape.pieces[0] if inputs.shape.pieces else str(inputs.tie_break)
        candidate = max(
            inputs.candidates,
            key=lambda item: get_rendezvous_weight(key, item.target_id),
        )
        return plan_without_imports(inputs, candidate)


def get_rendezvous_weight(key: str, member: str) -> int:
    """Return the weight of a member for a key in rendezvous hashing.

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
"""Selection policies by their names in settings and benchmarks."""
