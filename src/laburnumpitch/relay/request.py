"""Data types of relayed requests, their copies for targets, and the answers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Protocol

from ..fleet.messages import TargetRecord
from ..transport.http_server import Headers, HttpRequest
from .configuration import STREAMING, Organisation, Route

FINGERPRINT_BYTES = 8


@dataclass(frozen=True)
class PromptPiece:
    """A piece of a prompt, whose context other requests may share."""

    piece_id: str
    tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """What the headers of a client's request state."""

    request_id: str
    """Identifier of this attempt; a client's retry has another one."""
    host: str
    api_key: str
    """API key; empty if none was sent."""
    client_timeout_s: float | None
    """Time that the client waits, from the request's arrival; None if not stated."""
    model: str
    prompt_tokens: int
    output_tokens: int
    """Largest number of tokens to generate."""
    pieces: tuple[PromptPiece, ...]
    """Pieces of the prompt in sequence; the last one is the request's own."""
    last_event_id: str
    """Last event that the client received of a stream; empty for a new stream."""
    begun_by: str = ""
    """Identifier of the attempt that received the first event of a stream that the
    client takes up again; empty for a new stream."""

    @property
    def shared_pieces(self) -> tuple[PromptPiece, ...]:
        """The pieces that other requests may have too."""
        return self.pieces[:-1]

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the shared pieces."""
        return sum(piece.tokens for piece in self.shared_pieces)

    @property
    def affinity_key(self) -> str:
        """Identifier of the last shared piece; routes related requests together."""
        shared = self.shared_pieces
        return shared[-1].piece_id if shared else ""


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that the routing configuration allows."""

    request: HttpRequest
    metadata: RequestMetadata
    route: Route
    service: str
    organisation: Organisation | None
    configuration_version: int
    build: str = ""
    """Build that began the stream which the client takes up again; empty for a new
    stream."""

    @property
    def is_take_up(self) -> bool:
        """Whether the client goes on with a stream that another attempt began."""
        metadata = self.metadata
        if self.route.kind != STREAMING:
            return False
        is_continued = self.route.is_resumable and bool(metadata.last_event_id)
        return bool(metadata.begun_by) or is_continued

    @property
    def priority_class(self) -> int:
        """Priority class of the organisation, or else of the route; 0 is first."""
        if (
            self.organisation is not None
            and self.organisation.priority_class is not None
        ):
            return self.organisation.priority_class
        return self.route.priority_class

    @property
    def timeout_s(self) -> float:
        """Time from its arrival in which the request has to be answered."""
        route_timeout_s = self.route.timeout_s
        return min(self.metadata.client_timeout_s or route_timeout_s, route_timeout_s)

    @property
    def fingerprint(self) -> str:
        """Hash that all attempts of one request by an organisation have in common."""
        organisation_name = self.organisation.name if self.organisation else ""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (organisation_name, self.request.path, self.request.query):
            digest.update(part.encode())
            digest.update(b"\x00")
        digest.update(self.request.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class ContextPlan:
    """Where a target reads and saves kept context."""

    salt: str
    """Separates the context of weight versions and isolated organisations."""
    sources: tuple[str, ...] = ()
    """Address of the store to read each piece from; empty for none."""
    destinations: tuple[str, ...] = ()
    """Address of the store to save each piece at; empty for none."""
    read_until_ms: int = 0
    """Time on the target's clock after which data read is discarded; 0 for no bound."""


@dataclass(frozen=True)
class TargetRequest:
    """What a target receives in addition to the client's own request."""

    target: TargetRecord
    remaining_s: float
    """Time in which the target has to answer."""
    organisation: str
    """Empty on an anonymous route."""
    drops_api_key: bool
    """Whether the client's API key is removed."""
    priority_class: int
    weight_version: int | None
    """Version that the target must have; None if it is unknown."""
    context: ContextPlan | None
    resume_after: str
    """Event after which to resume a stream; empty for a complete stream."""


@dataclass(frozen=True)
class AnswerMetadata:
    """What the headers of a target's answer state."""

    request_id: str
    is_not_run: bool
    """Whether the target states that it did not run the request."""
    is_misdirected: bool
    """Whether the target or its weight version is not the expected one."""
    instance_id: str
    """The target that answered; empty if not stated."""
    is_sealed: bool
    """Whether the answer carries a target's seal, as every success must."""
    is_encoded: bool
    """Whether the body has a content encoding, such as compression."""
    weight_version: int | None
    is_leaving: bool = False
    """Whether the target states that it is leaving."""
    retry_after_s: float | None = None
    """Time for which a target that is too busy asks for no requests."""
    cold_s: float | None = None
    """Remaining time of the target's cold start; None if not stated."""


@dataclass(frozen=True)
class FallbackAnswer:
    """A target's error answer, delivered if no other target succeeds."""

    status: int
    headers: Headers
    body: bytes


class Translator(Protocol):
    """Reads and writes the platform's headers."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what the headers of a client's request state.

        Raises:
            MalformedRequestError: If a header cannot be read.
        """

    def get_request_id(self, request: HttpRequest) -> str:
        """Return the identifier of the client's attempt; empty without one."""

    def make_headers(
        self, admitted: AdmittedRequest, target_request: TargetRequest
    ) -> Headers:
        """Return the headers of the request to a target."""

    def read_answer(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what the headers of a target's answer state."""

    def make_answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of a target's answer that are passed to the client."""

    def make_refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer that refuses a request."""
