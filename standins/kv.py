"""The stand-in engines' arithmetic: context, blocks and answers.

An answer depends on the context that the engine really used, so that a wrong,
stale, partly written or foreign block gives a visibly wrong answer.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 32

WORDS = (
    "oil lamp route gate stile path snow order truck ridge ferry hut moss "
    "field bridge dawn wick tank can hill wall farm beck crag ford lane mire"
).split()
"""Vocabulary of the answers."""


def compute_initial_digest(
    organisation: str, model: str, version: str, adapter: str
) -> bytes:
    """Return the context before the first piece."""
    text = "\x00".join((organisation, model, version, adapter))
    return hashlib.sha256(text.encode()).digest()


def extend_digest(prefix_digest: bytes, text: str) -> bytes:
    """Return the context after another piece of text."""
    return hashlib.sha256(prefix_digest + text.encode()).digest()


def make_block(prefix_digest: bytes, length: int) -> bytes:
    """Return a block of KV cache that stands for a context."""
    filler = hashlib.sha256(b"filler" + prefix_digest).digest()
    return (prefix_digest + filler * (length // DIGEST_BYTES + 1))[:length]


def parse_block(data: bytes) -> bytes:
    """Return the context that a block stands for; a damaged one is another."""
    prefix_digest = data[:DIGEST_BYTES]
    if (
        data == make_block(prefix_digest, len(data))
        and len(prefix_digest) == DIGEST_BYTES
    ):
        return prefix_digest
    return hashlib.sha256(b"damaged" + data).digest()


def make_token(context_digest: bytes, index: int) -> str:
    """Return one token of an answer."""
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
    """Return the right answer to a prompt, computed from its text alone."""
    prefix_digest = compute_initial_digest(organisation, model, version, adapter)
    pieces_end = len(prompt) // piece_chars * piece_chars
    for start in range(0, pieces_end, piece_chars):
        prefix_digest = extend_digest(
            prefix_digest, prompt[start : start + piece_chars]
        )
    context_digest = extend_digest(prefix_digest, prompt[pieces_end:])
    return "".join(make_token(context_digest, index) for index in range(token_count))
