"""Reads and writes the platform's headers on requests and answers."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..errors import MalformedRequestError
from ..relay.request import (
    AdmittedRequest,
    AnswerMetadata,
    ContextPlan,
    PromptPiece,
    RequestMetadata,
    TargetRequest,
)
from ..transport.header_bytes import embed_text
from ..transport.http_client import HOP_BY_HOP_HEADERS
from ..transport.http_server import Headers, HttpRequest
from .wire_values import MAX_DURATION_MS, MAX_TOKENS

MS_PER_S = 1000.0

ATTEMPT_ID = "attempt-id"
"""Identifier of one attempt by a client; each retry has another one."""
AUTHORIZATION = "authorization"
BEARER = "bearer "
"""Scheme before the API key in the authorization header, in lower case."""

CACHE_SALT = "cache-salt"
"""Salt that separates kept context of different weight versions or organisations."""

COLD_MS = "cold-ms"
"""Remaining time of a target's cold start, in milliseconds."""

DEADLINE_MS = "deadline-ms"
"""Time left until the deadline, not a point in time."""

EXPECT_INSTANCE = "expect-instance"
"""Identifier of the target that the request is meant for."""

EXPECT_VERSION = "expect-version"
"""Weight version that the target must have."""

INSTANCE_ID = "instance-id"
"""Identifier of the target that answered."""

KV_SOURCE = "kv-source"
"""Address of the store to read each piece from."""

KV_TARGET = "kv-target"
"""Address of the store to save each piece at."""

KV_UNTIL = "kv-until"
"""Time on the targets' clock (ms) after which data read from a store is discarded."""

LAST_EVENT_ID = "last-event-id"
MODEL = "model"
NOT_EXECUTED = "not-executed"
"""Set on an answer to a request that the target did not run."""

PREFIX_HASH = "prefix-hash"
"""All pieces of the prompt, not a hash of its prefix."""

REQUEST_PRIORITY = "request-priority"
RESUMES = "resumes"
"""Identifier of the client's attempt that received the first event of a stream."""

RETRY_AFTER = "retry-after"
SERVER_LEAVING = "server-leaving"
"""Set to `1` by a target on all answers while it is leaving."""

SERVER_SEAL = "server-seal"
"""Set by a target on each successful answer."""

TENANT = "tenant"
"""Name of the organisation."""

TOKEN_USAGE = "token-usage"
"""Prompt tokens and largest number of tokens to generate; not what was used."""

WEIGHT_VERSIONS = "weight-versions"
"""Weight version of the target that answered."""

SYSTEM_HEADER_PREFIXES = ("kv-", "pin-", "expect")
"""Prefixes of headers that only the system may set; a client's are removed."""

SYSTEM_HEADERS = frozenset(
    (
        CACHE_SALT,
        DEADLINE_MS,
        REQUEST_PRIORITY,
        TENANT,
        "keep-alive",
        "proxy-connection",
    )
)
"""Headers that only the system may set; a client's are removed."""

MISDIRECTED_STATUS = 421
"""Status of a target that is not the expected one or has another weight version."""

UNAVAILABLE_STATUS = 503
"""Status of a target that turns a request away."""

MAX_RETRY_AFTER_S = 30.0
"""Longest time for which a target is left alone at its word; a larger value is more
likely a fault than an overload, and would cost its capacity for as long."""

MAX_REQUEST_PRIORITY = 9
"""Largest priority value that is sent to a target; 0 is served first."""

MAX_VERSION_DIGITS = 18
"""Largest number of digits of a weight version; any fits into 64 bits."""

NO_STORE_ADDRESS = "-"
"""Stands for a piece that is not read from or saved at a store."""


def get_first_header(headers: Iterable[tuple[str, str]], name: str) -> str:
    """Return the value of the first header of a name; empty without one."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return ""


def is_leaving(headers: Headers) -> bool:
    """Whether the headers of a target's answer state that it is leaving."""
    return any(name == SERVER_LEAVING and value == "1" for name, value in headers)


def parse_count(text: str) -> int:
    """Parse a number of tokens; a larger one than `MAX_TOKENS` counts as that.

    Raises:
        ValueError: If it is not an integer, or negative.
    """
    count = int(text)
    if count < 0:
        raise ValueError(f"negative number of tokens: {count}")
    return min(count, MAX_TOKENS)


def parse_version(text: str) -> int | None:
    """Parse a weight version; None if it is none."""
    if not text.isdecimal() or len(text) > MAX_VERSION_DIGITS:
        return None
    return int(text)


def parse_retry_after_s(text: str) -> float | None:
    """Parse a time in seconds, up to `MAX_RETRY_AFTER_S`; None if it is none.

    A date is none: the clocks of targets may differ.
    """
    whole, _, fraction = text.partition(".")
    if not (text.isascii() and whole.isdecimal() and (fraction or "0").isdecimal()):
        return None
    return min(float(text), MAX_RETRY_AFTER_S)


def parse_cold_s(text: str) -> float | None:
    """Parse a remaining cold time in ms and return it in seconds; None if it is none.

    It may be a little below 0 at the end of the time.
    """
    try:
        cold_ms = float(text)
    except ValueError:
        return None
    if not -MAX_DURATION_MS <= cold_ms <= MAX_DURATION_MS:
        return None
    return max(0.0, cold_ms / MS_PER_S)


def parse_timeout_s(text: str) -> float:
    """Parse a time in milliseconds and return it in seconds.

    Raises:
        ValueError: If it is not a number, negative or not finite.
    """
    timeout_s = float(text) / MS_PER_S
    if not 0.0 <= timeout_s < math.inf:
        raise ValueError(f"invalid time: {text}")
    return timeout_s


def parse_pieces(text: str) -> tuple[PromptPiece, ...]:
    """Parse the pieces of a prompt from `ID:TOKENS,ID:TOKENS`.

    Raises:
        ValueError: If the number of tokens of an entry is not a count.
    """
    pieces = []
    for entry in filter(None, (part.strip() for part in text.split(","))):
        piece_id, _, tokens = entry.partition(":")
        pieces.append(PromptPiece(piece_id, parse_count(tokens)))
    return tuple(pieces)


class HeaderTranslator:
    """Converts between the platform's headers and the relay's types."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what the headers of a client's request state.

        Raises:
            MalformedRequestError: If a header is malformed.
        """
        # Reversed, so that the first of several headers of a name counts.
        headers = dict(reversed(request.headers))
        credentials = headers.get(AUTHORIZATION, "")
        is_bearer = credentials.lower().startswith(BEARER)
        try:
            timeout_text = headers.get(DEADLINE_MS)
            token_counts = [
                parse_count(text) for text in headers.get(TOKEN_USAGE, "0,0").split(",")
            ]
            pieces = parse_pieces(headers.get(PREFIX_HASH, ""))
            client_timeout_s = parse_timeout_s(timeout_text) if timeout_text else None
        except ValueError as error:
            raise MalformedRequestError(str(error)) from error
        return RequestMetadata(
            request_id=headers.get(ATTEMPT_ID, ""),
            host=headers.get("host", "").partition(":")[0].lower(),
            api_key=credentials[len(BEARER) :].strip() if is_bearer else "",
            client_timeout_s=client_timeout_s,
            model=headers.get(MODEL, ""),
            prompt_tokens=token_counts[0],
            output_tokens=token_counts[1] if len(token_counts) > 1 else 0,
            pieces=pieces,
            last_event_id=headers.get(LAST_EVENT_ID, ""),
            begun_by=headers.get(RESUMES, ""),
        )

    def get_request_id(self, request: HttpRequest) -> str:
        """Return the identifier of the client's attempt; empty without one."""
        return request.get_header(ATTEMPT_ID)

    def make_headers(
        self, admitted: AdmittedRequest, target_request: TargetRequest
    ) -> Headers:
        """Return the headers of the request to a target."""
        connection_options = get_first_header(
            admitted.request.headers, "connection"
        ).lower()
        dropped_names = {part.strip() for part in connection_options.split(",")}
        if target_request.drops_api_key:
            dropped_names.add(AUTHORIZATION)
        if target_request.resume_after:
            dropped_names.add(LAST_EVENT_ID)
        headers = [
            (name, value)
            for name, value in admitted.request.headers
            if name not in HOP_BY_HOP_HEADERS
            and name not in SYSTEM_HEADERS
            and name not in dropped_names
            and not name.startswith(SYSTEM_HEADER_PREFIXES)
        ]
        remaining_ms = max(1, int(target_request.remaining_s * MS_PER_S))
        headers.append((DEADLINE_MS, str(remaining_ms)))
        headers.append((EXPECT_INSTANCE, target_request.target.target_id))
        headers.append(
            (
                REQUEST_PRIORITY,
                str(min(MAX_REQUEST_PRIORITY, target_request.priority_class)),
            )
        )
        if target_request.organisation:
            headers.append((TENANT, embed_text(target_request.organisation)))
        if target_request.weight_version is not None:
            headers.append((EXPECT_VERSION, str(target_request.weight_version)))
        if target_request.context is not None:
            headers += make_context_headers(target_request.context)
        if target_request.resume_after:
            headers.append((LAST_EVENT_ID, target_request.resume_after))
        return headers

    def read_answer(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what the headers of a target's answer state."""
        header_values = dict(headers)
        return AnswerMetadata(
            request_id=header_values.get(ATTEMPT_ID, ""),
            is_not_run=NOT_EXECUTED in header_values or status == MISDIRECTED_STATUS,
            is_misdirected=status == MISDIRECTED_STATUS,
            instance_id=header_values.get(INSTANCE_ID, ""),
            is_sealed=SERVER_SEAL in header_values,
            is_encoded=header_values.get("content-encoding", "identity") != "identity",
            weight_version=parse_version(header_values.get(WEIGHT_VERSIONS, "")),
            is_leaving=is_leaving(headers),
            cold_s=parse_cold_s(header_values.get(COLD_MS, "")),
            retry_after_s=(
                parse_retry_after_s(header_values.get(RETRY_AFTER, ""))
                if status == UNAVAILABLE_STATUS
                else None
            ),
        )

    def make_answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of a target's answer that are passed to the client."""
        return [item for item in headers if item[0] not in HOP_BY_HOP_HEADERS]

    def make_refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer that refuses a request."""
        headers = [("content-type", "text/plain")]
        if request_id:
            headers.append((ATTEMPT_ID, request_id))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, f"{retry_after_s:.3f}"))
        return headers


def make_context_headers(plan: ContextPlan) -> Headers:
    """Return the headers that state where a target reads and saves kept context."""
    headers = [(CACHE_SALT, plan.salt)]
    for name, addresses in ((KV_SOURCE, plan.sources), (KV_TARGET, plan.destinations)):
        if any(addresses):
            entries = (address or NO_STORE_ADDRESS for address in addresses)
            headers.append((name, ",".join(entries)))
    if plan.read_until_ms and any(plan.sources):
        headers.append((KV_UNTIL, str(plan.read_until_ms)))
    return headers
