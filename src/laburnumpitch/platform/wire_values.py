"""Bounds of the values that the platform's messages may have.

A message that passes them can be sent on to other nodes: each whole number fits in a
message, each address can be connected to, and each text fits in a header.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

from msgspec import Meta

MAX_INTEGER = 2**63 - 1
"""Largest whole number; a message between nodes holds none of more than 64 bits."""

MAX_DURATION_MS = 366 * 24 * 3600 * 1000.0
"""Longest duration, a year, in milliseconds."""

MAX_TOKENS = 1_000_000_000
"""Largest number of tokens of a prompt, a piece or an answer. Sums over the requests
of a node are sent to other nodes, in messages whose numbers have 64 bits."""

MAX_TEXT_CHARS = 128
"""Longest name, version or identifier, in characters."""

MAX_PORT = 65_535
"""Largest TCP port."""

MAX_NESTING = 32
"""Deepest nesting of lists and objects, unknown fields included. Far less than the
decoder's own limit, which depends on the stack of the caller: two nodes could
otherwise disagree whether a text is valid."""

Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
"""A whole number that is not negative."""

TokenCount = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
"""A number of tokens."""

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
"""A whole number."""

DurationMs = Annotated[float, Meta(ge=0.0, le=MAX_DURATION_MS)]
"""A duration in milliseconds."""

BoundedText = Annotated[
    str, Meta(pattern=rf"\A[ -~]{{1,{MAX_TEXT_CHARS}}}\Z", title="bounded text")
]
"""Printable ASCII of 1 to `MAX_TEXT_CHARS` characters; may be sent in a header."""

IDENTIFIER_PATTERN = re.compile(rf"[!-~]{{1,{MAX_TEXT_CHARS}}}")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*+"', re.DOTALL)
NESTING_BY_BRACKET = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}
NON_BRACKETS = bytes(set(range(256)) - set(NESTING_BY_BRACKET))


def is_identifier(text: str) -> bool:
    """Whether a text is printable ASCII of bounded length, without spaces."""
    return IDENTIFIER_PATTERN.fullmatch(text) is not None


def is_host(text: str) -> bool:
    """Whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def is_address(text: str) -> bool:
    """Whether a text is `host:port` with an IPv4 address that can be connected to."""
    host, _, port = text.rpartition(":")
    if not is_host(host):
        return False
    return PORT_PATTERN.fullmatch(port) is not None and 1 <= int(port) <= MAX_PORT


def is_too_deep(text: bytes) -> bool:
    """Whether valid JSON is nested more deeply than `MAX_NESTING`."""
    if text.count(b"[") + text.count(b"{") <= MAX_NESTING:
        return False
    depth = 0
    for bracket in JSON_STRING_PATTERN.sub(b"", text).translate(None, NON_BRACKETS):
        depth += NESTING_BY_BRACKET[bracket]
        if depth > MAX_NESTING:
            return True
    return False
