"""Deterministic KV contents and answers of the stand-in engines.

A chain of digests over the prompt's pieces stands for the KV cache. The tokens of an
answer derive from the digest of the context that the engine has used, so that a wrong,
stale, partly written or foreign block gives a visibly wrong answer.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 32
"""Length of a SHA-256 digest."""

WORDS = (
    "oil lamp route gate stile path snow order truck ridge ferry hut moss "
    "field bridge dawn wick tank can hill wall farm beck crag ford lane mire"
).split()
"""Vocabulary of the answers."""


def compute_initial_digest(
    organisation: str, model: str, version: str, adapter: str
) -> bytes:
    """Return the digest of the empty prefix; it differs by organisation and weights."""
    text = "\x00".join((organisation, model, version, adapter))
    return hashlib.sha256(text.encode()).digest()


def extend_digest(prefix_digest: bytes, text: str) -> bytes:
    """Return the digest of a prefix that is extended by some text."""
    return hashlib.sha256(prefix_digest + text.encode()).digest()


def make_block(prefix_digest: bytes, length: int) -> bytes:
    """Return a KV block: a prefix's digest, padded to a length with derived bytes."""
    filler = hashlib.sha256(b"filler" + prefix_digest).digest()
    return (prefix_digest + filler * (length // DIGEST_BYTES + 1))[:length]


def parse_block(data: bytes) -> bytes:
    """Return the digest that a block contains, or a different one if it is corrupt."""
    prefix_digest = data[:DIGEST_BYTES]
    if (
        data == make_block(prefix_digest, len(data))
        and len(prefix_digest) == DIGEST_BYTES
    ):
        return prefix_digest
    return hashlib.sha256(b"damaged" + data).digest()


def make_token(context_digest: bytes, index: int) -> str:
    """Return the token at an index of the answer to a context."""
    token_digest = hashlib.sha256(context_digest + index.to_bytes(4, "big")).digest()
    return WORDS[token_digest[0] % len(WORDS)] + " "


def compute_expected_answer(
    organisation: str,
    model: str,
    version: str,
    adapter: str,
    prompt: str,
    piece_chars: int,
    token_count: int,
) -> str:
    """Return the correct answer to a prompt, computed from its text alone."""
    prefix_digest = compute_initial_digest(organisation, model, version, adapter)
    pieces_end = len(prompt) // piece_chars * piece_chars
    for start in range(0, pieces_end, piece_chars):
        prefix_digest = extend_digest(
            prefix_digest, prompt[start : start + piece_chars]
        )
    context_digest = extend_digest(prefix_digest, prompt[pieces_end:])
    return "".join(make_token(context_digest, index) for index in range(token_count))
