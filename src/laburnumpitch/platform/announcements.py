"""Decodes the announcements of targets."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Annotated

import msgspec

from ..errors import MalformedRequestError
from ..fleet.messages import TargetRecord
from .wire_values import (
    MAX_DURATION_MS,
    BoundedText,
    Count,
    is_address,
    is_identifier,
    is_too_deep,
)

READY_STATE = "ready"
"""State of a target that takes requests."""

DRAINING_STATE = "draining"
"""State of a target that takes no new requests and will stop."""
MS_PER_S = 1000.0

MAX_ANNOUNCEMENT_BYTES = 256 * 1024
"""Maximum size of an announcement; that of a target with many models is a few KB."""

MAX_MODELS = 1000
"""Maximum number of models of a target."""

MAX_SLOTS = 65_536
"""Maximum number of requests that a target serves at once."""

MAX_BORN_AHEAD_MS = 24 * 3600 * 1000
"""Time by which a target's start may be ahead of this node's wall clock, in
milliseconds. Clocks of sound machines may differ by an hour; a start far in the future
would hide every later target at the same address or of the same name."""


ColdTimeMs = Annotated[float, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]


class WireModel(msgspec.Struct):
    """A model and its weight version that an engine has loaded."""

    name: BoundedText
    version: Count


class WireBeat(msgspec.Struct):
    """A target's announcement of its state."""

    service: BoundedText
    address: str
    zone: BoundedText
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    sequence: Count
    born: Count
    """Start of the target, in Unix milliseconds."""
    version: BoundedText
    """Version of the target's software, not of its weights."""
    cold_remaining_ms: ColdTimeMs | msgspec.UnsetType = msgspec.UNSET
    """May be a little below 0 at the end of the time."""
    models: Annotated[list[WireModel], msgspec.Meta(max_length=MAX_MODELS)] = []


_decoder = msgspec.json.Decoder(WireBeat, strict=True)


def check_target_id(target_id: str) -> None:
    """Check that a target's identifier can be sent in a header.

    Raises:
        MalformedRequestError: If it cannot.
    """
    if not is_identifier(target_id):
        raise MalformedRequestError("invalid identifier of a target")


def decode_wire_beat(target_id: str, body: bytes) -> WireBeat:
    """Decode the body of an announcement.

    Raises:
        MalformedRequestError: If it is malformed, too large or too deeply nested.
    """
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        raise MalformedRequestError(f"{target_id}: body of {len(body)} bytes")
    try:
        announcement = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedRequestError(f"{target_id}: {error}") from error
    if is_too_deep(body):
        raise MalformedRequestError(f"{target_id}: nested too deeply")
    return announcement


def decode_announcement(
    target_id: str, body: bytes, get_wall_time_s: Callable[[], float] = time.time
) -> TargetRecord:
    """Decode an announcement.

    Args:
        target_id: Identifier of the target.
        body: Body of the call.
        get_wall_time_s: Returns the wall time in seconds.

    Raises:
        MalformedRequestError: If it is malformed, or a value is out of its bounds.
    """
    check_target_id(target_id)
    announcement = decode_wire_beat(target_id, body)
    if announcement.state not in (READY_STATE, DRAINING_STATE) or not is_address(
        announcement.address
    ):
        raise MalformedRequestError(f"{target_id}: invalid state or address")
    if announcement.born > get_wall_time_s() * MS_PER_S + MAX_BORN_AHEAD_MS:
        raise MalformedRequestError(f"{target_id}: start in the future")
    cold_ms = announcement.cold_remaining_ms
    states_cold = cold_ms is not msgspec.UNSET
    return TargetRecord(
        target_id=target_id,
        service=announcement.service,
        address=announcement.address,
        data_centre=announcement.zone,
        born_ms=announcement.born,
        sequence=announcement.sequence,
        slots=max(1, announcement.slots),
        is_leaving=announcement.state == DRAINING_STATE,
        cold_s=max(0.0, cold_ms / MS_PER_S) if states_cold else 0.0,
        states_cold=states_cold,
        versions={model.name: model.version for model in announcement.models},
        build=announcement.version,
    )
