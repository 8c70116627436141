"""What the relay knows of a request, of one sending of it, and of its answer."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Protocol

from ..fleet.messages import TargetRecord
from ..transport.http_server import Headers, HttpRequest
from .configuration import Organisation, Route

FINGERPRINT_BYTES = 8


@dataclass(frozen=True)
class PromptPiece:
    """A part of a prompt that other requests may share."""

    piece_id: str
    tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """What a client said of its request."""

    request_id: str
    """Identifier of this attempt of the client's."""
    host: str
    api_key: str
    """API key; empty if none was sent."""
    client_timeout_s: float | None
    """Time for which the client waits, from the arrival of the request."""
    model: str
    prompt_tokens: int
    output_tokens: int
    """Most tokens that are generated."""
    pieces: tuple[PromptPiece, ...]
    """Parts of the prompt in order; the last one is the request's own."""
    last_event_id: str
    """Last event that the client has of a stream; empty for a new one."""

    @property
    def shared_pieces(self) -> tuple[PromptPiece, ...]:
        """The parts that other requests have too."""
        return self.pieces[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(piece.tokens for piece in self.shared_pieces)

    @property
    def affinity_key(self) -> str:
        """Name of the longest shared part, which places related requests."""
        shared = self.shared_pieces
        return shared[-1].piece_id if shared else ""


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that the configuration allows."""

    request: HttpRequest
    metadata: RequestMetadata
    route: Route
    service: str
    organisation: Organisation | None
    configuration_version: int

    @property
    def priority_class(self) -> int:
        """Urgency; 0 goes first."""
        if (
            self.organisation is not None
            and self.organisation.priority_class is not None
        ):
            return self.organisation.priority_class
        return self.route.priority_class

    @property
    def fingerprint(self) -> str:
        """Name of all attempts of this request by its organisation."""
        organisation_name = self.organisation.name if self.organisation else ""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (organisation_name, self.request.path, self.request.query):
            digest.update(part.encode())
            digest.update(b"\x00")
        digest.update(self.request.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class ContextPlan:
    """Where a target finds and leaves kept context."""

    salt: str
    """Keeps context of other versions and isolated organisations apart."""
    sources: tuple[str, ...] = ()
    """Address to read each piece from; empty text for none."""
    destinations: tuple[str, ...] = ()
    """Address to save each piece at; empty text for none."""
    read_until_ms: int = 0
    """Target's clock after which a read is thrown away; 0 for no bound."""


@dataclass(frozen=True)
class TargetRequest:
    """One sending of a request to a target."""

    target: TargetRecord
    remaining_s: float
    """Time that the target has."""
    organisation: str
    """Empty on an anonymous route."""
    drops_api_key: bool
    """Whether the client's key stays here."""
    priority_class: int
    weight_version: int | None
    """Version that the target must have, if it is known."""
    context: ContextPlan | None
    resume_after: str
    """Event after which a stream goes on; empty for the whole stream."""


@dataclass(frozen=True)
class AnswerMetadata:
    """What a target said of its answer."""

    request_id: str
    is_not_run: bool
    """Whether the target states that it did not run the request."""
    is_misdirected: bool
    """Whether the target is another one, or has other weights, than expected."""
    instance_id: str
    """The target that answered; empty if it did not say."""
    is_sealed: bool
    is_encoded: bool
    """Whether the body is not the target's own bytes."""
    weight_version: int | None


@dataclass(frozen=True)
class FallbackAnswer:
    """A target's failure, delivered if nothing better comes."""

    status: int
    headers: Headers
    body: bytes


class Translator(Protocol):
    """The platform's words for requests and answers."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what a client said.

        Raises:
            MalformedRequestError: If a header cannot be read.
        """

    def get_request_id(self, request: HttpRequest) -> str:
        """Return the identifier of the client's attempt."""

    def make_headers(
        self, admitted: AdmittedRequest, target_request: TargetRequest
    ) -> Headers:
        """Return the headers for a target."""

    def read_answer(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what a target said."""

    def make_answer_headers(self, headers: Headers) -> Headers:
        """Return a target's headers for the client."""

    def make_refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer of the system's own."""
