"""Frozen inputs and results of the choice of a target."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..targets.protocols import BlockRef


@dataclass(frozen=True)
class LinkState:
    """One store's link as this node knows it."""

    bytes_per_s: float
    """Rate that lately completed reads had."""
    queued_bytes: float = 0.0
    """Bytes that this node's requests still read."""
    latency_s: float = 0.002
    """Time before the first byte."""


@dataclass(frozen=True)
class StoredBlock:
    """A committed block that could be read."""

    ref: BlockRef
    is_on_disk: bool = False


@dataclass(frozen=True)
class PieceLocations:
    """Who holds one piece of the prompt."""

    engines: frozenset[str] = frozenset()
    """Engines that have it in memory."""
    blocks: tuple[StoredBlock, ...] = ()


@dataclass(frozen=True)
class EngineCandidate:
    """A target that could run the request."""

    target_id: str
    slots: int
    running: int
    queued: int
    queued_prefill_tokens: int
    """Context that waits to be computed, as last reported."""
    unreported: int = 0
    """Requests that this node sent since the report."""
    unreported_tokens: int = 0
    """Context that those requests compute."""
    prefill_tokens_per_s: float = 1.0
    kv_bytes_per_token: int = 0
    service_s: float = 0.1
    """Time that a request holds a slot, on average."""
    is_same_data_centre: bool = True


@dataclass(frozen=True)
class RequestShape:
    """What the choice needs of the prompt."""

    pieces: tuple[str, ...]
    piece_tokens: int
    tail_tokens: int
    first_token_weight: float = 0.5


@dataclass(frozen=True)
class SelectionInput:
    """Everything that a choice depends on."""

    shape: RequestShape
    candidates: tuple[EngineCandidate, ...]
    piece_locations: tuple[PieceLocations, ...]
    """By piece of the prompt; empty if the directory did not answer."""
    links: dict[str, LinkState] = field(default_factory=dict)
    """By store."""
    tie_break: float = 0.0
    """Random number from 0 to 1."""


@dataclass(frozen=True)
class Plan:
    """Where a request runs and where its context comes from."""

    target_id: str
    imports: tuple[BlockRef, ...]
    reused_pieces: int
    """Pieces in the target's memory."""
    recomputed_tokens: int
    predicted_first_token_s: float
    import_timeout_s: float
