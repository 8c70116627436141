"""Chooses a target for a relayed request by the time that it would take there.

Answers steady load with returning prompts: related requests go to one target, by
rendezvous hashing that every node computes alike, as long as bringing their context
elsewhere takes longer than waiting there.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

PREFILL_TOKENS_PER_S = 120_000.0
"""Prompt tokens that an engine reads in a second, the slowest engine's sheet."""

POSSIBLY_UNREACHABLE_COST_S = 0.6
"""Cost of a target that nobody hears and that has not served here lately."""

FAILING_COST_S = 1.0
"""Cost of a target that fails every request."""

BACKOFF_COST_S = 5.0
"""Cost of a target that failed right now; taken only if there is no other."""

OUTDATED_WEIGHTS_COST_S = 0.5
"""Cost of weights that are older than the named ones. Their engines are next to load,
which waits for their last stream, and what is read there is soon read again."""

REPORT_HALF_WEIGHT_S = 1.0
"""Age at which half of a report of other nodes' load is believed, for requests that
last as long; reports are half a second old, and every node acts on the same one."""

MAX_NODES_COMPARING_ALL = 16
"""Nodes up to which each compares all targets: what a node sends itself is then a good
part of what a target has."""

SAMPLE_SIZE = 2
"""Targets that are compared beyond that, the home of the context among them."""

REMOTE_COST_S = 0.001
"""Cost of another data centre: two ways between them."""


@dataclass(frozen=True)
class TargetCandidate:
    """A target as this node sees it."""

    target_id: str
    slots: int
    running: float
    """Requests that the target has, as far as this node believes."""
    pending_prefill_tokens: int
    """Prompt tokens of this node's requests that wait for their first event."""
    service_s: float
    """Usual time of a request there."""
    failure_rate: float
    """Share of failed requests lately."""
    is_in_backoff: bool
    is_possibly_unreachable: bool
    has_outdated_weights: bool
    """Whether its weights are older than the named ones."""
    is_remote: bool
    cold_start_s: float = 0.0
    transfer_s: float = 0.0
    """Time to bring the request's shared context there, or to read it anew."""


def estimate_other_nodes_load(reported: float, mean: float, service_s: float) -> float:
    """Return what other nodes are believed to have at a target by now.

    A report is late by about `REPORT_AGE_S`; the shorter requests are, the less of
    it still holds, and the mean over all targets is the better guess.

    Args:
        known: Requests of other nodes at the target, as reported.
        mean: The same over all targets of the service.
        service_s: Usual time of a request there.
    """
    weight = service_s / (service_s + REPORT_HALF_WEIGHT_S)
    return mean + (reported - mean) * weight


def rank_by_rendezvous_hash(key: str, target_ids: Sequence[str]) -> list[str]:
    """Return targets in the key's own order, the same on every node."""
    return sorted(target_ids, key=lambda name: get_rendezvous_digest(key, name))


def choose_by_rendezvous_hash(key: str, target_ids: Sequence[str]) -> str:
    """Return the first target in the key's own order; empty without any."""
    return min(
        target_ids, key=lambda name: get_rendezvous_digest(key, name), default=""
    )


def get_rendezvous_digest(key: str, target_id: str) -> bytes:
    """Return a target's weight for a key, the same on every node."""
    text = f"{key}\x00{target_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def estimate_cost_s(
    candidate: TargetCandidate, prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
) -> float:
    """Return the expected wait at a target, without reading the prompt."""
    cost_s = candidate.pending_prefill_tokens / prefill_tokens_per_s
    excess = max(0.0, candidate.running + 1 - candidate.slots)
    cost_s += excess * candidate.service_s / candidate.slots
    cost_s += candidate.running / candidate.slots * candidate.service_s
    cost_s += candidate.failure_rate * FAILING_COST_S
    cost_s += min(candidate.cold_start_s, 1.0)
    cost_s += BACKOFF_COST_S * candidate.is_in_backoff
    cost_s += POSSIBLY_UNREACHABLE_COST_S * candidate.is_possibly_unreachable
    cost_s += OUTDATED_WEIGHTS_COST_S * candidate.has_outdated_weights
    return cost_s + REMOTE_COST_S * candidate.is_remote


def choose_target(
    candidates: Sequence[TargetCandidate],
    affinity_key: str,
    tie_breaks: Sequence[float],
    node_count: int,
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S,
) -> TargetCandidate | None:
    """Return the candidate with the least expected time, or None.

    Args:
        candidates: Targets that may serve the request.
        affinity_key: Name of the context that related requests share.
        tie_breaks: A random number from 0 to 1 for each candidate.
        node_count: Nodes that send requests by what they know themselves.
        read_rate: Prompt tokens that a target reads in a second.
    """
    if not candidates:
        return None
    affinity_target_id = ""
    if affinity_key:
        target_ids = [c.target_id for c in candidates if not c.is_in_backoff]
        affinity_target_id = choose_by_rendezvous_hash(affinity_key, target_ids)

    def get_cost(pair: tuple[TargetCandidate, float]) -> tuple[float, float]:
        candidate, tie_break = pair
        cost = estimate_cost_s(candidate, prefill_tokens_per_s)
        if candidate.target_id != affinity_target_id:
            cost += candidate.transfer_s
        return (cost, tie_break)

    pairs = list(zip(candidates, tie_breaks, strict=True))
    if node_count > MAX_NODES_COMPARING_ALL:
        pairs = sample_candidates(pairs, affinity_target_id)
    return min(pairs, key=get_cost)[0]


def sample_candidates(
    pairs: list[tuple[TargetCandidate, float]], affinity_target_id: str
) -> list[tuple[TargetCandidate, float]]:
    """Return the home and some others at random.

    What nodes know of each other's load is late. If each took the least loaded of
    all targets, all would take the same one.
    """
    reachable = [
        p for p in pairs if not (p[0].is_in_backoff or p[0].is_possibly_unreachable)
    ]
    if len(reachable) <= SAMPLE_SIZE:
        return pairs
    reachable.sort(key=lambda pair: (pair[0].target_id != affinity_target_id, pair[1]))
    return reachable[:SAMPLE_SIZE]
