"""Splits prompts into pieces and names them.

The name of a piece is a hash chain over organisation, model, weight version,
adapter and all text up to the piece's end, so that no other organisation,
version or preceding text can give the same name. Its first digits name the
directory's shard. Groups of consecutive pieces share a shard, so a prompt's lookup
involves few shards.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

CHARS_PER_TOKEN = 4
"""Characters that count as one token, in splitting prompts and in counting tokens."""

SHARD_DIGITS = 8
"""Leading hexadecimal digits of a piece's name that name its shard."""

PIECES_PER_SHARD_GROUP = 8
"""Consecutive pieces, after the first one, that share a shard."""

DIGEST_BYTES = 16
"""Length of the digest that follows the shard in a piece's name."""


@dataclass(frozen=True)
class ContextNamespace:
    """The scope in which kept context may be reused; part of every piece's name."""

    organisation: str
    model: str
    weight_version: str
    adapter: str

    def get_chain_seed(self) -> bytes:
        """Return the start of the hash chain.

        Each field is prefixed with its length, so that different fields never give
        the same bytes.
        """
        parts = (self.organisation, self.model, self.weight_version, self.adapter)
        seed = b""
        for part in parts:
            data = part.encode()
            seed += len(data).to_bytes(4, "big") + data
        return hashlib.blake2b(seed, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True)
class PromptPieces:
    """A prompt as split into complete pieces and a remainder."""

    names: list[str]
    """Name of each complete piece, in order."""
    piece_chars: int
    total_tokens: int
    """Tokens of the prompt, with the remainder."""
    piece_tokens: int

    @property
    def tail_tokens(self) -> int:
        """Tokens after the last complete piece."""
        return self.total_tokens - len(self.names) * self.piece_tokens


def count_tokens(text: str) -> int:
    """Return the tokens of a text by `CHARS_PER_TOKEN`, rounded up."""
    return -(-len(text) // CHARS_PER_TOKEN)


def is_shard_group_start(index: int) -> bool:
    """Whether a piece is the first of a group that shares a shard.

    The first piece of a prompt is a group of its own, because many prompts of an
    organisation share it and differ after it.
    """
    return index == 0 or (index - 1) % PIECES_PER_SHARD_GROUP == 0


def split_prompt(
    text: str, namespace: ContextNamespace, piece_tokens: int
) -> PromptPieces:
    """Split a prompt into pieces and name them.

    Args:
        text: The prompt.
        namespace: The scope of the pieces' names.
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
    """Return the shard that holds a piece's directory entry."""
    return piece_name[:SHARD_DIGITS]
