"""Cuts prompts into pieces and names them.

The name of a piece is a hash chain over organisation, model, weight version,
adapter and all text up to the piece's end, so that no other organisation,
version or history can have the same name. Its first digits name the shard of
the directory, which all pieces of one band share.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

CHARS_PER_TOKEN = 4
"""Characters that count as one token when a prompt is cut."""

SHARD_DIGITS = 8
"""Hexadecimal digits of a piece's name that name its shard."""

PIECES_PER_SHARD_GROUP = 8
"""Pieces behind the first one that share a shard."""

DIGEST_BYTES = 16
"""Bytes of a piece's own digest."""


@dataclass(frozen=True)
class ContextNamespace:
    """What a piece belongs to besides its text."""

    organisation: str
    model: str
    weight_version: str
    adapter: str

    def get_chain_seed(self) -> bytes:
        """Return the start of the hash chain; lengths keep fields apart."""
        parts = (self.organisation, self.model, self.weight_version, self.adapter)
        seed = b""
        for part in parts:
            data = part.encode()
            seed += len(data).to_bytes(4, "big") + data
        return hashlib.blake2b(seed, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True)
class PromptPieces:
    """A prompt as cut into whole pieces and a rest."""

    names: list[str]
    """Name of each whole piece."""
    piece_chars: int
    total_tokens: int
    """Tokens of the whole prompt."""
    piece_tokens: int

    @property
    def tail_tokens(self) -> int:
        """Tokens behind the last whole piece."""
        return self.total_tokens - len(self.names) * self.piece_tokens


def count_tokens(text: str) -> int:
    """Return the number of tokens that a text counts as."""
    return -(-len(text) // CHARS_PER_TOKEN)


def is_shard_group_start(index: int) -> bool:
    """Whether a piece begins a band of the directory.

    The first piece is a band of its own, since many prompts of an organisation
    share it and differ behind it.
    """
    return index == 0 or (index - 1) % PIECES_PER_SHARD_GROUP == 0


def split_prompt(
    text: str, namespace: ContextNamespace, piece_tokens: int
) -> PromptPieces:
    """Cut a prompt into pieces and name them.

    Args:
        text: The whole prompt.
        owner: What the pieces belong to.
        piece_tokens: Tokens in one piece.
    """
    piece_chars = piece_tokens * CHARS_PER_TOKEN
    chain_digest = namespace.get_chain_seed()
    shard = ""
    names = []
    for index in range(len(text) // piece_chars):
        chunk = text[index * piece_chars : (index + 1) * piece_chars]
        chain_digest = hashlib.blake2b(
            chunk.encode(), key=chain_digest, digest_size=DIGEST_BYTES
        ).digest()
        if is_shard_group_start(index):
            shard = chain_digest.hex()[:SHARD_DIGITS]
        names.append(shard + chain_digest.hex())
    return PromptPieces(names, piece_chars, count_tokens(text), piece_tokens)


def get_shard(piece_name: str) -> str:
    """Return the shard that a piece's name belongs to."""
    return piece_name[:SHARD_DIGITS]
