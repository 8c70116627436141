"""Converts between headers as text and their bytes, of which each is one character."""

from __future__ import annotations

from collections.abc import Iterable

HEADER_ENCODING = "latin-1"
"""Decodes every byte, so that a value is passed on unchanged whatever its encoding."""


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return the bytes of headers.

    Raises:
        UnicodeEncodeError: If a character is not one byte.
    """
    return [
        (name.encode(HEADER_ENCODING), value.encode(HEADER_ENCODING))
        for name, value in headers
    ]


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Return headers as text."""
    return [
        (name.decode(HEADER_ENCODING), value.decode(HEADER_ENCODING))
        for name, value in headers
    ]


def embed_text(text: str) -> str:
    """Return the header value that has a text in UTF-8."""
    return text.encode().decode(HEADER_ENCODING)
