"""Binary encoding of the load reports that the control leader sends to nodes.

Each target has one row of five bytes: its number, its count of requests, its pending
prefill tokens on a logarithmic scale, and its weight version with a loading bit.
At the size that the system is designed for, a report of every target once a second
costs a node 3.6 KB/s; as separate messages they cost 66 KB/s.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from msgspec.structs import replace

from .messages import TargetLoad

ROW_STRUCT = struct.Struct(">HBBB")
"""Target number, requests, code of the pending prefill tokens, and
`version_index << 1 | is_loading`."""

MAX_ROW_REQUESTS = 255
"""Largest count of requests in a row; larger ones are sent as this one."""

MIN_PREFILL_TOKENS = 256
"""Start of the logarithmic scale; fewer pending prefill tokens are sent as zero."""

CODES_PER_DOUBLING = 8
"""Steps of the logarithmic scale from one number of tokens to its double."""

MAX_WEIGHT_VERSIONS = 128
"""Maximum number of distinct weight versions in one leader's term; the loading bit
leaves seven bits for a version's index."""


@dataclass(frozen=True)
class LoadRow:
    """One decoded row."""

    target_number: int
    running: int
    """Requests at the target, running or queued."""
    queued_prefill_tokens: int
    version_index: int
    """Index of the weight version in the message's list of versions."""
    is_loading: bool


def encode_prefill_tokens(tokens: int) -> int:
    """Return the code of a number of pending prefill tokens, from 0 to 255."""
    if tokens < MIN_PREFILL_TOKENS:
        return 0
    code = round(CODES_PER_DOUBLING * math.log2(tokens / MIN_PREFILL_TOKENS)) + 1
    return min(255, code)


def decode_prefill_tokens(code: int) -> int:
    """Return the number of tokens that a code represents."""
    if code == 0:
        return 0
    return round(MIN_PREFILL_TOKENS * 2 ** ((code - 1) / CODES_PER_DOUBLING))


def quantise_load(load: TargetLoad) -> TargetLoad:
    """Return a report rounded to the precision of a row.

    Queued requests are added to the running ones.
    """
    return replace(
        load,
        running=min(MAX_ROW_REQUESTS, load.running + load.queued),
        queued=0,
        queued_prefill_tokens=decode_prefill_tokens(
            encode_prefill_tokens(load.queued_prefill_tokens)
        ),
    )


def pack_loads(
    loads: Iterable[TargetLoad],
    target_numbers: dict[str, int],
    version_indexes: dict[str, int],
) -> bytes:
    """Encode reports, one row each.

    Args:
        loads: Quantised reports.
        target_numbers: Number of each target by its id.
        version_indexes: Index of each weight version.
    """
    return b"".join(
        ROW_STRUCT.pack(
            target_numbers[load.target_id],
            load.running,
            encode_prefill_tokens(load.queued_prefill_tokens),
            version_indexes[load.weight_version] << 1 | load.is_loading,
        )
        for load in loads
    )


def unpack_loads(data: bytes) -> Iterator[LoadRow]:
    """Decode the rows of packed reports."""
    for target_number, running, code, flags in ROW_STRUCT.iter_unpack(data):
        yield LoadRow(
            target_number,
            running,
            decode_prefill_tokens(code),
            flags >> 1,
            bool(flags & 1),
        )
