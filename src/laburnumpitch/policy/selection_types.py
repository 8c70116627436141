"""Immutable inputs and results of engine selection."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..targets.protocols import BlockRef


@dataclass(frozen=True)
class LinkState:
    """This node's estimate of the link to one store."""

    bytes_per_s: float
    """Throughput estimated from recent reads."""
    queued_bytes: float = 0.0
    """Bytes that this node's requests have yet to read."""
    latency_s: float = 0.002
    """Latency to the first byte."""


@dataclass(frozen=True)
class BlockLocation:
    """A committed block that can be read from a store."""

    ref: BlockRef
    is_on_disk: bool = False


@dataclass(frozen=True)
class PieceLocations:
    """Where one piece of the prompt is kept."""

    engines: frozenset[str] = frozenset()
    """Engines that hold it in memory."""
    blocks: tuple[BlockLocation, ...] = ()


@dataclass(frozen=True)
class EngineCandidate:
    """The state of an engine that could run the request."""

    target_id: str
    slots: int
    running: int
    queued: int
    queued_prefill_tokens: int
    """Context tokens that wait for prefill, as last reported."""
    unreported: int = 0
    """Requests that this node has sent since the last report."""
    unreported_tokens: int = 0
    """Context tokens that those requests compute."""
    prefill_tokens_per_s: float = 1.0
    kv_bytes_per_token: int = 0
    service_s: float = 0.1
    """Average time for which a request occupies a slot."""
    is_same_data_centre: bool = True


@dataclass(frozen=True)
class RequestShape:
    """The properties of a request that engine selection needs."""

    pieces: tuple[str, ...]
    """Names of the complete pieces of the prompt, in order."""
    piece_tokens: int
    tail_tokens: int
    """Prompt tokens after the last complete piece."""
    first_token_weight: float = 0.5
    """Weight of the time to first token against recomputed context, from 0 to 1."""


@dataclass(frozen=True)
class SelectionInput:
    """All inputs of one selection."""

    shape: RequestShape
    candidates: tuple[EngineCandidate, ...]
    piece_locations: tuple[PieceLocations, ...]
    """Locations by index of the piece; empty if the directory did not answer."""
    links: dict[str, LinkState] = field(default_factory=dict)
    """Link state by store."""
    tie_break: float = 0.0
    """Random number from 0 to 1 that decides between equal candidates."""


@dataclass(frozen=True)
class Plan:
    """The engine that runs a request, and the context that it imports."""

    target_id: str
    imports: tuple[BlockRef, ...]
    reused_pieces: int
    """Pieces that are in the engine's memory."""
    recomputed_tokens: int
    predicted_first_token_s: float
    import_timeout_s: float
