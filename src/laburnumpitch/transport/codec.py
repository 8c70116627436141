"""Binary form of the messages between processes.

A message is a frozen dataclass registered with `message`. On the wire it is a
msgpack array of schema version, type name, sender's clock stamp and body.
"""

from __future__ import annotations

import dataclasses
from typing import Any, TypeVar

import msgspec

from ..errors import CodecError
from ..logging import CLOCK

SCHEMA_VERSION = 1
"""Version of the wire form; a process refuses messages of another one."""

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
"""Bound on one message, large enough for a snapshot of the state machine."""

MessageT = TypeVar("MessageT")

_message_types: dict[str, type] = {}
_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(tuple[int, str, int, msgspec.Raw])
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


def message(cls: type[MessageT]) -> type[MessageT]:
    """Register a class as a message, as a frozen dataclass with slots."""
    frozen = dataclasses.dataclass(frozen=True, slots=True)(cls)
    _message_types[frozen.__name__] = frozen
    return frozen


def encode(item: Any) -> bytes:
    """Return the wire form of a registered message."""
    return _encoder.encode((SCHEMA_VERSION, type(item).__name__, CLOCK.tick(), item))


def decode(data: bytes) -> Any:
    """Read a message from its wire form.

    Raises:
        CodecError: If the data are malformed, too large or of another schema.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(f"message of {len(data)} bytes is over the bound")
    try:
        version, name, clock_stamp, body = _envelope_decoder.decode(data)
        if version != SCHEMA_VERSION:
            raise CodecError(f"schema version {version} is not {SCHEMA_VERSION}")
        decoder = _decoders.get(name)
        if decoder is None:
            decoder = _decoders[name] = msgspec.msgpack.Decoder(_message_types[name])
        item = decoder.decode(body)
    except (msgspec.MsgspecError, KeyError) as error:
        raise CodecError(f"malformed message: {error}") from error
    CLOCK.observe(clock_stamp)
    return item
