"""Decodes the announcements of targets."""

from __future__ import annotations

import msgspec

from ..errors import MalformedRequestError
from ..fleet.messages import TargetRecord

READY_STATE = "ready"
"""State of a target that takes requests."""

DRAINING_STATE = "draining"
"""State of a target that takes no new requests and will stop."""
MS_PER_S = 1000.0


class WireModel(msgspec.Struct):
    """A model and its weight version that an engine has loaded."""

    name: str
    version: int


class WireBeat(msgspec.Struct):
    """A target's announcement of its state."""

    service: str
    address: str
    zone: str
    state: str
    slots: int
    sequence: int
    born: int
    """Start of the target, in Unix milliseconds."""
    version: str
    """Version of the target's software, not of its weights."""
    cold_remaining_ms: float = 0
    models: list[WireModel] = []


_decoder = msgspec.json.Decoder(WireBeat, strict=True)


def decode_announcement(target_id: str, body: bytes) -> TargetRecord:
    """Decode an announcement.

    Raises:
        MalformedRequestError: If it is malformed, or its state or address is invalid.
    """
    try:
        announcement = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedRequestError(f"{target_id}: {error}") from error
    host, _, port = announcement.address.rpartition(":")
    if (
        announcement.state not in (READY_STATE, DRAINING_STATE)
        or not host
        or not port.isdecimal()
    ):
        raise MalformedRequestError(f"{target_id}: invalid state or address")
    return TargetRecord(
        target_id=target_id,
        service=announcement.service,
        address=announcement.address,
        data_centre=announcement.zone,
        born_ms=announcement.born,
        sequence=announcement.sequence,
        slots=max(1, announcement.slots),
        is_leaving=announcement.state == DRAINING_STATE,
        cold_s=max(0.0, announcement.cold_remaining_ms / MS_PER_S),
        versions={model.name: model.version for model in announcement.models},
        build=announcement.version,
    )
