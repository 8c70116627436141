"""Binary encoding of the messages between processes.

A message is a frozen struct of the codec library: making such a class takes a tenth of
the time of a dataclass, which counts at the start of a process. On the wire it is a
msgpack array of schema version, type name, the sender's hybrid logical clock and body.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..errors import CodecError
from ..logging import CLOCK

SCHEMA_VERSION = 1
"""Version of the encoding; messages of another version are rejected."""

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
"""Maximum size of a message; large enough for a snapshot of the state machine."""

_message_types: dict[str, type] = {}
_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(tuple[int, str, int, msgspec.Raw])
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


class Message(msgspec.Struct, frozen=True):
    """Base class of messages, which registers them by their names."""

    def __init_subclass__(cls, **options: Any) -> None:
        super().__init_subclass__(**options)
        _message_types[cls.__name__] = cls


def encode(item: Any) -> bytes:
    """Encode a registered message.

    Raises:
        CodecError: If a value cannot be encoded, such as an integer of more than 64
            bits or a text that is not valid Unicode.
    """
    name = type(item).__name__
    try:
        return _encoder.encode((SCHEMA_VERSION, name, CLOCK.tick(), item))
    except (
        msgspec.MsgspecError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise CodecError(f"cannot encode {name}: {error}") from error


def check_encodable(item: Any) -> None:
    """Check that a message can be sent to other processes.

    Raises:
        CodecError: If it cannot.
    """
    encode(item)


def decode(data: bytes) -> Any:
    """Decode a message and advance this process's clock past the sender's.

    Raises:
        CodecError: If the data are malformed, too large or of another schema version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(f"message of {len(data)} bytes exceeds the maximum size")
    try:
        version, name, clock_stamp, body = _envelope_decoder.decode(data)
        if version != SCHEMA_VERSION:
            raise CodecError(f"schema version is {version}, expected {SCHEMA_VERSION}")
        decoder = _decoders.get(name)
        if decoder is None:
            decoder = _decoders[name] = msgspec.msgpack.Decoder(_message_types[name])
        item = decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, KeyError, RecursionError) as error:
        raise CodecError(f"malformed message: {error}") from error
    CLOCK.observe(clock_stamp)
    return item
