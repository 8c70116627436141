"""Interfaces of engines and stores, and the messages that they exchange.

To support another wire protocol for targets, add a module that implements these.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True)
class BlockRef:
    """Reference to a committed block in a store; a read must match every field."""

    piece: str
    store_id: str
    store_address: str
    generation: int
    length: int
    """Bytes."""
    checksum: str
    """SHA-256 of the block, in hexadecimal."""


@dataclass(frozen=True)
class GenerateRequest:
    """A request to an engine to run a prompt."""

    request_id: str
    organisation: str
    model: str
    weight_version: str
    adapter: str
    priority: int
    prompt: str
    piece_chars: int
    """Characters of the prompt in one piece."""
    pieces: list[str]
    """Name of each complete piece of the prompt, in order."""
    imports: list[BlockRef]
    """Blocks that the engine reads from stores instead of recomputing them."""
    max_tokens: int
    offset: int = 0
    """Tokens to skip at the start, when a broken stream is resumed."""
    import_timeout_s: float = 1.0
    """Time after which the engine recomputes the imports that it has not yet read."""


@dataclass(frozen=True)
class TokenChunk:
    """Consecutive tokens of an answer."""

    id: str
    """The request's id, as the engine returns it."""
    offset: int
    """Index of the first token in the answer."""
    text: str
    count: int = 1
    """Number of tokens."""


@dataclass(frozen=True)
class LinkSample:
    """The data that a run read from one store."""

    store_id: str
    sent_bytes: int
    duration_s: float


@dataclass(frozen=True)
class RunEnd:
    """The end marker of a stream; an answer without it is incomplete."""

    id: str
    tokens: int
    recomputed_tokens: int
    reused_tokens: int
    imported_bytes: int
    links: list[LinkSample] = field(default_factory=list)


@dataclass(frozen=True)
class CacheEvent:
    """A piece was added to or removed from an engine's memory."""

    sequence: int
    is_added: bool
    piece: str


@dataclass(frozen=True)
class CacheEvents:
    """The cache events after a sequence number."""

    incarnation: int
    first_kept: int
    """Sequence number of the oldest event that the engine still has."""
    events: list[CacheEvent]


@dataclass(frozen=True)
class CacheSnapshot:
    """All pieces in an engine's memory at a sequence number."""

    incarnation: int
    sequence: int
    pieces: list[str]


@dataclass(frozen=True)
class ExportedBlock:
    """A block that an engine has written to a store."""

    length: int
    checksum: str


@dataclass(frozen=True)
class StoredBlock:
    """A block in a store's listing."""

    piece: str
    generation: int
    length: int
    checksum: str
    tier: str
    """`memory` or `disk` if the block is committed, `writing` if not."""


@dataclass(frozen=True)
class StoreListing:
    """All blocks of a store, committed or being written."""

    incarnation: int
    memory_bytes: int
    """Capacity of the memory tier."""
    disk_bytes: int
    """Capacity of the disk tier."""
    blocks: list[StoredBlock]


@dataclass(frozen=True)
class Fence:
    """Fencing number of an order: the control leader's term and log index."""

    term: int
    index: int


@dataclass(frozen=True)
class EngineState:
    """An engine's report of the weights that it serves."""

    incarnation: int
    weight_version: str
    is_loading: bool
    fence: Fence
    """Fencing number of the last order that the engine accepted."""


class Engine(Protocol):
    """A model engine."""

    def generate(
        self, request: GenerateRequest, first_token_timeout_s: float
    ) -> AsyncIterator[TokenChunk | RunEnd]:
        """Run a prompt and yield its tokens, then the end marker."""

    async def cancel(self, request_id: str) -> None:
        """Stop a run."""

    async def get_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""

    async def get_snapshot(self) -> CacheSnapshot:
        """Return all pieces in the engine's cache."""

    async def export_piece(
        self, piece: str, store_address: str, generation: int
    ) -> ExportedBlock:
        """Have the engine write a piece to a store."""

    async def load_weights(
        self, version: str, fence: Fence, before_write: Callable[[], None]
    ) -> None:
        """Order the engine to load and serve another weight version.

        `before_write` is called right before the order is written to the connection.
        It raises if this process may no longer give orders.
        """

    async def get_state(self) -> EngineState:
        """Return the weight version that the engine serves and its fence."""


class Store(Protocol):
    """A KV store."""

    async def commit(
        self, piece: str, generation: int, length: int, checksum: str
    ) -> bool:
        """Commit a written block if it is complete; return whether it was."""

    async def free(self, piece: str, generation: int) -> None:
        """Free a block; do nothing if the store no longer has it."""

    async def move(self, piece: str, generation: int, tier: str) -> bool:
        """Move a block between memory and disk; return whether it moved."""

    async def get_listing(self) -> StoreListing:
        """Return all blocks, committed or being written."""
