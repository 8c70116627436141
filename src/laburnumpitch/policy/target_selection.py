"""Selects a target for a relayed request by its predicted waiting time.

Requests that share context prefer one target, which rendezvous hashing of their
affinity key gives on every node alike. They go to another target when waiting for the
preferred one would take longer than transferring or recomputing the context.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

PREFILL_TOKENS_PER_S = 120_000.0
"""Default prefill rate of an engine, from the data sheet of the slowest one."""

POSSIBLY_UNREACHABLE_COST_S = 0.6
"""Cost of a target that does not announce itself and has not answered this node
recently."""

FAILING_COST_S = 1.0
"""Cost of a target that fails every request, scaled by the failure rate."""

BACKOFF_COST_S = 5.0
"""Cost of a target in backoff after a failure; selected only if there is no other."""

OUTDATED_WEIGHTS_COST_S = 0.5
"""Cost of a target with an older weight version. Its engine loads the new one next,
which waits for its last stream, and context computed there is soon recomputed."""

REPORT_HALF_WEIGHT_S = 1.0
"""Service time at which a reported load of other nodes and the mean over all targets
have equal weight. Reports are half a second old, and all nodes act on the same one."""

MAX_NODES_COMPARING_ALL = 16
"""Largest number of nodes at which each node compares all targets. Up to this number,
a node's own requests, which it knows exactly, are a large part of a target's load."""

SAMPLE_SIZE = 2
"""Number of targets that each node compares in a larger fleet, including the target
that the affinity key prefers."""

DIGEST_BYTES = 8
DIGEST_RANGE = 2 ** (8 * DIGEST_BYTES)

REMOTE_COST_S = 0.001
"""Cost of a target in another data centre: one round trip."""


@dataclass(frozen=True)
class TargetCandidate:
    """The state of a target as this node estimates it."""

    target_id: str
    slots: int
    running: float
    """Estimated number of requests at the target, from all nodes."""
    pending_prefill_tokens: int
    """Prompt tokens that wait for their first event at the target: of this node's
    requests, or of all nodes' requests at the coordinator."""
    service_s: float
    """Average time of a request at the target."""
    failure_rate: float
    """Share of recent requests that failed."""
    is_in_backoff: bool
    is_possibly_unreachable: bool
    has_outdated_weights: bool
    """Whether a newer weight version has been published."""
    is_remote: bool
    cold_start_s: float = 0.0
    """Remaining time of the target's cold start."""
    transfer_s: float = 0.0
    """Time to transfer the request's shared context there, or to recompute it."""


def estimate_other_nodes_load(reported: float, mean: float, service_s: float) -> float:
    """Return the estimated number of other nodes' requests at a target.

    Reports are delayed. The shorter the requests, the less a report still holds when
    it arrives, and the better an estimate the mean over all targets is.

    Args:
        reported: Reported number of other nodes' requests at the target.
        mean: Mean of that number over all targets of the service.
        service_s: Average time of a request at the target.
    """
    weight = service_s / (service_s + REPORT_HALF_WEIGHT_S)
    return mean + (reported - mean) * weight


def rank_by_rendezvous_hash(key: str, names: Sequence[str]) -> list[str]:
    """Return names in order of preference for a key, the same on every node."""
    return sorted(names, key=lambda name: get_rendezvous_digest(key, name))


def choose_by_rendezvous_hash(key: str, names: Sequence[str]) -> str:
    """Return the preferred name for a key, or an empty string without names."""
    return min(names, key=lambda name: get_rendezvous_digest(key, name), default="")


def choose_by_weighted_hash(key: str, weights: Mapping[str, float]) -> str:
    """Return the preferred name for a key; each gets keys in proportion to its weight.

    A change of one weight moves only keys to or from that name.
    """

    def get_score(name: str) -> float:
        digest = int.from_bytes(get_rendezvous_digest(key, name))
        return -math.log((digest + 1) / DIGEST_RANGE) / weights[name]

    return min(weights, key=get_score, default="")


def get_rendezvous_digest(key: str, name: str) -> bytes:
    """Return the hash that ranks a name for a key; the lowest is preferred."""
    text = f"{key}\x00{name}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


def estimate_cost_s(
    candidate: TargetCandidate, prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
) -> float:
    """Return the expected wait at a target plus penalties for its state.

    The prefill of the request itself is not included.
    """
    cost_s = candidate.pending_prefill_tokens / prefill_tokens_per_s
    excess_requests = max(0.0, candidate.running + 1 - candidate.slots)
    cost_s += excess_requests * candidate.service_s / candidate.slots
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
    """Return the candidate with the lowest cost, or None without candidates.

    Args:
        candidates: Targets that may serve the request.
        affinity_key: Key of the context that related requests share; empty if none.
        tie_breaks: A random number from 0 to 1 for each candidate.
        node_count: Number of nodes that select targets independently.
        prefill_tokens_per_s: Prefill rate of a target.
    """
    if not candidates:
        return None
    pairs = prefer_reachable(list(zip(candidates, tie_breaks, strict=True)))
    affinity_target_id = find_affinity_target([c for c, _ in pairs], affinity_key)

    def get_cost(pair: tuple[TargetCandidate, float]) -> tuple[float, float]:
        candidate, tie_break = pair
        cost = estimate_cost_s(candidate, prefill_tokens_per_s)
        if candidate.target_id != affinity_target_id:
            cost += candidate.transfer_s
        return (cost, tie_break)

    if node_count > MAX_NODES_COMPARING_ALL:
        pairs = sample_candidates(pairs, affinity_target_id)
    return min(pairs, key=get_cost)[0]


def find_affinity_target(candidates: Sequence[TargetCandidate], key: str) -> str:
    """Return the target that a context's key prefers; empty without a key."""
    if not key:
        return ""
    target_ids = [c.target_id for c in candidates if not c.is_in_backoff]
    return choose_by_rendezvous_hash(key, target_ids)


def prefer_reachable(
    pairs: list[tuple[TargetCandidate, float]],
) -> list[tuple[TargetCandidate, float]]:
    """Return the candidates without those that are possibly unreachable.

    If all are, all are returned. A loaded target answers late, but a request that is
    sent to an unreachable one has lost its time for nothing.
    """
    return [p for p in pairs if not p[0].is_possibly_unreachable] or pairs


def sample_candidates(
    pairs: list[tuple[TargetCandidate, float]], affinity_target_id: str
) -> list[tuple[TargetCandidate, float]]:
    """Return the affinity target and random other targets, `SAMPLE_SIZE` in all.

    Targets in backoff or possibly unreachable are left out; if no more than
    `SAMPLE_SIZE` others exist, all targets are returned. Nodes learn each other's load
    with a delay. If each took the least loaded of all targets, all would take the same.
    """
    reachable = [
        p for p in pairs if not (p[0].is_in_backoff or p[0].is_possibly_unreachable)
    ]
    if len(reachable) <= SAMPLE_SIZE:
        return pairs
    reachable.sort(key=lambda pair: (pair[0].target_id != affinity_target_id, pair[1]))
    return reachable[:SAMPLE_SIZE]
