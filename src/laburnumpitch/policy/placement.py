"""Chooses a target for a relayed request by the time that it would take there.

Answers steady load with returning prompts: related requests go to one target, by
rendezvous hashing that every node computes alike, as long as bringing their context
elsewhere takes longer than waiting there.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

READ_TOKENS_PER_S = 120_000.0
"""Prompt tokens that an engine reads in a second, the slowest engine's sheet."""

DOUBTFUL_COST_S = 0.6
"""Cost of a target that nobody hears and that has not served here lately."""

FAILING_COST_S = 1.0
"""Cost of a target that fails every request."""

SUSPECT_COST_S = 5.0
"""Cost of a target that failed right now; taken only if there is no other."""

OUTDATED_COST_S = 0.5
"""Cost of weights that are older than the named ones. Their engines are next to load,
which waits for their last stream, and what is read there is soon read again."""

REPORT_AGE_S = 1.0
"""Age at which half of a report of other nodes' load is believed, for requests that
last as long; reports are half a second old, and every node acts on the same one."""

MAX_COMPARING_NODES = 16
"""Nodes up to which each compares all targets: what a node sends itself is then a good
part of what a target has."""

SAMPLED_TARGETS = 2
"""Targets that are compared beyond that, the home of the context among them."""

REMOTE_COST_S = 0.001
"""Cost of another data centre: two ways between them."""


@dataclass(frozen=True)
class Candidate:
    """A target as this node sees it."""

    target_id: str
    slots: int
    running: float
    """Requests that the target has, as far as this node believes."""
    unread_tokens: int
    """Prompt tokens of this node's requests that wait for their first event."""
    service_s: float
    """Usual time of a request there."""
    failure_rate: float
    """Share of failed requests lately."""
    is_suspect: bool
    is_doubtful: bool
    is_outdated: bool
    """Whether its weights are older than the named ones."""
    is_remote: bool
    cold_s: float = 0.0
    transfer_s: float = 0.0
    """Time to bring the request's shared context there, or to read it anew."""


def believe_others(known: float, mean: float, service_s: float) -> float:
    """Return what other nodes are believed to have at a target by now.

    A report is late by about `REPORT_AGE_S`; the shorter requests are, the less of
    it still holds, and the mean over all targets is the better guess.

    Args:
        known: Requests of other nodes at the target, as reported.
        mean: The same over all targets of the service.
        service_s: Usual time of a request there.
    """
    weight = service_s / (service_s + REPORT_AGE_S)
    return mean + (known - mean) * weight


def rank_by_hash(key: str, target_ids: Sequence[str]) -> list[str]:
    """Return targets in the key's own order, the same on every node."""
    return sorted(target_ids, key=lambda name: weigh_hash(key, name))


def find_home(key: str, target_ids: Sequence[str]) -> str:
    """Return the first target in the key's own order; empty without any."""
    return min(target_ids, key=lambda name: weigh_hash(key, name), default="")


def weigh_hash(key: str, target_id: str) -> bytes:
    """Return a target's weight for a key, the same on every node."""
    text = f"{key}\x00{target_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def estimate_s(candidate: Candidate, read_rate: float = READ_TOKENS_PER_S) -> float:
    """Return the expected wait at a target, without reading the prompt."""
    wait_s = candidate.unread_tokens / read_rate
    excess = max(0.0, candidate.running + 1 - candidate.slots)
    wait_s += excess * candidate.service_s / candidate.slots
    wait_s += candidate.running / candidate.slots * candidate.service_s
    wait_s += candidate.failure_rate * FAILING_COST_S
    wait_s += min(candidate.cold_s, 1.0)
    wait_s += SUSPECT_COST_S * candidate.is_suspect
    wait_s += DOUBTFUL_COST_S * candidate.is_doubtful
    wait_s += OUTDATED_COST_S * candidate.is_outdated
    return wait_s + REMOTE_COST_S * candidate.is_remote


def choose_target(
    candidates: Sequence[Candidate],
    affinity_key: str,
    tie_breaks: Sequence[float],
    node_count: int,
    read_rate: float = READ_TOKENS_PER_S,
) -> Candidate | None:
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
    home = ""
    if affinity_key:
        ids = [c.target_id for c in candidates if not c.is_suspect]
        home = find_home(affinity_key, ids)

    def get_cost(pair: tuple[Candidate, float]) -> tuple[float, float]:
        candidate, tie_break = pair
        cost = estimate_s(candidate, read_rate)
        if candidate.target_id != home:
            cost += candidate.transfer_s
        return (cost, tie_break)

    pairs = list(zip(candidates, tie_breaks, strict=True))
    if node_count > MAX_COMPARING_NODES:
        pairs = sample(pairs, home)
    return min(pairs, key=get_cost)[0]


def sample(
    pairs: list[tuple[Candidate, float]], home: str
) -> list[tuple[Candidate, float]]:
    """Return the home and some others at random.

    What nodes know of each other's load is late. If each took the least loaded of
    all targets, all would take the same one.
    """
    sound = [p for p in pairs if not (p[0].is_suspect or p[0].is_doubtful)]
    if len(sound) <= SAMPLED_TARGETS:
        return pairs
    sound.sort(key=lambda pair: (pair[0].target_id != home, pair[1]))
    return sound[:SAMPLED_TARGETS]
