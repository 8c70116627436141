"""Packed form of load reports on their way from the control leader to nodes.

A row has five bytes: number of the target, requests that it holds, context that
waits to be computed on a logarithmic scale, and weight version with a loading bit.
At the size to design for, every target's report once a second then costs a node
3.6 KB/s, where whole messages cost 66 KB/s.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from .messages import TargetLoad

ROW_STRUCT = struct.Struct(">HBBB")
"""Target's number, requests, context code, version index << 1 | is loading."""

MAX_ROW_REQUESTS = 255
"""Most requests that a row can tell of."""

MIN_PREFILL_TOKENS = 256
"""Context below this counts as none."""

CODES_PER_DOUBLING = 8
"""Steps of the scale of context from one value to its double."""

MAX_WEIGHT_VERSIONS = 128
"""Weight versions that one leader's term can name."""


@dataclass(frozen=True)
class LoadRow:
    """One row as a node reads it."""

    target_number: int
    running: int
    queued_prefill_tokens: int
    version_index: int
    is_loading: bool


def encode_prefill_tokens(tokens: int) -> int:
    """Return the code of an amount of context."""
    if tokens < MIN_PREFILL_TOKENS:
        return 0
    code = round(CODES_PER_DOUBLING * math.log2(tokens / MIN_PREFILL_TOKENS)) + 1
    return min(255, code)


def decode_prefill_tokens(code: int) -> int:
    """Return the amount of context that a code stands for, in tokens."""
    if code == 0:
        return 0
    return round(MIN_PREFILL_TOKENS * 2 ** ((code - 1) / CODES_PER_DOUBLING))


def quantise_load(load: TargetLoad) -> TargetLoad:
    """Return a report with the precision that nodes get."""
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
    """Return reports in packed form.

    Args:
        loads: Quantised reports.
        numbers: Number of each target.
        versions: Index of each weight version.
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
    """Yield the rows of packed reports."""
    for target_number, running, code, flags in ROW_STRUCT.iter_unpack(data):
        yield LoadRow(
            target_number,
            running,
            decode_prefill_tokens(code),
            flags >> 1,
            bool(flags & 1),
        )
