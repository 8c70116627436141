"""JSON requests over HTTP, shared by the clients of engines and stores."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from ..errors import MalformedAnswerError, TargetError, TargetRefusedError
from ..transport.http_client import MAX_IDLE_S, HttpClient

CALL_TIMEOUT_S = 5.0
"""Default timeout of a call, until its answer has ended."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer; a listing of all blocks is the largest one."""

READ_METHOD = "GET"
"""Method of the calls that change nothing."""

JSON_HEADERS = [("content-type", "application/json")]

ValueT = TypeVar("ValueT")


async def call_json(
    client: HttpClient,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = CALL_TIMEOUT_S,
    before_write: Callable[[], None] | None = None,
) -> bytes:
    """Send a JSON request and return the body of a successful answer.

    Args:
        client: HTTP client for the target's address.
        method: HTTP method.
        path: Path and query.
        body: Value to encode as JSON, or None for an empty body.
        timeout_s: Timeout of the call, until its answer has ended.
        before_write: Called right before the request is written.

    Raises:
        TargetRefusedError: If the target answers with a 4xx status.
        TargetError: If the call fails otherwise.
    """
    data = msgspec.json.encode(body) if body is not None else b""
    answer = await client.request(
        method,
        path,
        JSON_HEADERS,
        data,
        first_byte_timeout_s=timeout_s,
        total_timeout_s=timeout_s,
        max_answer_bytes=MAX_ANSWER_BYTES,
        # An earlier answer that comes once more must not count for a change.
        max_idle_s=MAX_IDLE_S if method == READ_METHOD else 0.0,
        before_write=before_write,
    )
    content = await answer.read()
    if 400 <= answer.status < 500:
        raise TargetRefusedError(f"{path} answered with status {answer.status}")
    if answer.status >= 300:
        raise TargetError(f"{path} answered with status {answer.status}")
    return content


def decode_answer(content: bytes, value_type: type[ValueT]) -> ValueT:
    """Decode a JSON answer and check its type.

    Raises:
        MalformedAnswerError: If it is not JSON of the expected type.
    """
    try:
        return msgspec.json.decode(content, type=value_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedAnswerError(str(error)) from error
