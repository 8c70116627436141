"""Splits the cost of a target into the parts that its state causes.

The load that it answers: an operator asks why a request goes to one of many targets.
Each part is the difference that one state makes to the cost by which targets are
chosen, so a change of `estimate_cost_s` needs no change here, except a new state.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from .target_selection import (
    PREFILL_TOKENS_PER_S,
    TargetCandidate,
    estimate_cost_s,
)

NEUTRAL_STATES: Mapping[str, Mapping[str, Any]] = {
    "prefill": {"pending_prefill_tokens": 0},
    "running": {"running": 0.0},
    "failures": {"failure_rate": 0.0},
    "cold": {"cold_start_s": 0.0},
    "backoff": {"is_in_backoff": False},
    "unreachable": {"is_possibly_unreachable": False},
    "weights": {"has_outdated_weights": False},
    "remote": {"is_remote": False},
}
"""State of a candidate without each part of its cost."""

TRANSFER_PART = "transfer"
"""Part for transferring or recomputing context, of all but the preferred target."""


def split_cost(
    candidate: TargetCandidate,
    affinity_target_id: str,
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S,
) -> dict[str, float]:
    """Return the parts of a candidate's cost in seconds, without those of zero.

    Args:
        candidate: The candidate.
        affinity_target_id: The target that the request's context prefers.
        prefill_tokens_per_s: Prefill rate of a target.
    """
    cost_s = estimate_cost_s(candidate, prefill_tokens_per_s)
    parts = {}
    for name, state in NEUTRAL_STATES.items():
        # Most candidates of a large service are idle and sound.
        if any(getattr(candidate, field) for field in state):
            neutral = replace(candidate, **state)
            parts[name] = cost_s - estimate_cost_s(neutral, prefill_tokens_per_s)
    if candidate.target_id != affinity_target_id:
        parts[TRANSFER_PART] = candidate.transfer_s
    return {name: part_s for name, part_s in parts.items() if part_s}
