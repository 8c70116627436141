"""Reads what targets say of themselves."""

from __future__ import annotations

import msgspec

from ..errors import MalformedRequestError
from ..fleet.messages import TargetRecord

READY = "ready"
DRAINING = "draining"
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
        beat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedRequestError(f"{target_id}: {error}") from error
    host, _, port = beat.address.rpartition(":")
    if beat.state not in (READY, DRAINING) or not host or not port.isdecimal():
        raise MalformedRequestError(f"{target_id}: unknown state or address")
    return TargetRecord(
        target_id=target_id,
        service=beat.service,
        address=beat.address,
        data_centre=beat.zone,
        born_ms=beat.born,
        sequence=beat.sequence,
        slots=max(1, beat.slots),
        is_leaving=beat.state == DRAINING,
        cold_s=max(0.0, beat.cold_remaining_ms / MS_PER_S),
        versions={model.name: model.version for model in beat.models},
    )
