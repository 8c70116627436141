"""Decodes operators' questions where a request would go, and encodes the answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from ..errors import MalformedRequestError
from ..relay.explanation import ExplainedRequest, Explanation
from ..relay.request import RequestMetadata
from .http_headers import parse_pieces
from .wire_values import MAX_DURATION_MS, DurationMs, TokenCount, is_too_deep

MS_PER_S = 1000.0

ExplainRequest = Callable[[ExplainedRequest], Awaitable[Explanation]]


class WireExplain(msgspec.Struct):
    """A request, as an operator describes it."""

    path: str
    host: str
    method: str = "POST"
    api_key: str = ""
    request_id: str = ""
    """Identifier for the log line; the request needs none."""
    model: str = ""
    pieces: str = ""
    """Pieces of the prompt in sequence, as `ID:TOKENS,ID:TOKENS`."""
    prompt_tokens: TokenCount | None = None
    """Size of the prompt; the sum of its pieces by default."""
    output_tokens: TokenCount = 0
    deadline_ms: DurationMs = MAX_DURATION_MS


_decoder = msgspec.json.Decoder(WireExplain)


def decode_question(body: bytes) -> ExplainedRequest:
    """Decode an operator's question.

    Raises:
        MalformedRequestError: If it is malformed, or a value is out of its bounds.
    """
    try:
        wire = _decoder.decode(body)
        pieces = parse_pieces(wire.pieces)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedRequestError(str(error)) from error
    if is_too_deep(body):
        raise MalformedRequestError("nested too deeply")
    prompt_tokens = wire.prompt_tokens
    if prompt_tokens is None:
        prompt_tokens = sum(piece.tokens for piece in pieces)
    metadata = RequestMetadata(
        request_id=wire.request_id,
        host=wire.host.partition(":")[0].lower(),
        api_key=wire.api_key,
        client_timeout_s=wire.deadline_ms / MS_PER_S,
        model=wire.model,
        prompt_tokens=prompt_tokens,
        output_tokens=wire.output_tokens,
        pieces=pieces,
        last_event_id="",
    )
    return ExplainedRequest(wire.method, wire.path.partition("?")[0], metadata)


async def answer_question(explain: ExplainRequest, body: bytes) -> bytes:
    """Return the answer to an operator's question as JSON.

    Raises:
        MalformedRequestError: If the question is malformed.
    """
    return msgspec.json.encode(await explain(decode_question(body)))
