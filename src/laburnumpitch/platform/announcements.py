"""Reads what targets say of themselves."""

from __future__ import annotations

import msgspec

from ..errors import MalformedRequestError
from ..fleet.messages import TargetRecord

READY_STATE = "ready"
DRAINING_STATE = "draining"
MS_PER_S = 1000.0


class WireModel(msgspec.Struct):
    """A model that an engine has loaded."""

    name: str
    version: int


class WireBeat(msgspec.Struct):
    """An announcement."""

    service: str
    address: str
    zone: str
    state: str
    slots: int
    sequence: int
    born: int
    """Unix milliseconds of the target's start."""
    cold_remaining_ms: float = 0
    models: list[WireModel] = []


_decoder = msgspec.json.Decoder(WireBeat, strict=True)


def decode_announcement(target_id: str, body: bytes) -> TargetRecord:
    """Read an announcement.

    Raises:
        MalformedRequestError: If it names no target that may be used.
    """
    try:
        announcement = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedRequestError(f"{target_id}: {error}") from error
    host, _, port = announcement.address.rpartition(":")
    if (
        announcement.state not in (READY_STATE, DRAINING_STATE)
        or not host
        or not port.isdecimal()
    ):
        raise MalformedRequestError(f"{target_id}: unknown state or address")
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
    )
