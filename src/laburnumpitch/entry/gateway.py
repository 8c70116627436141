"""Handles the HTTP requests of callers, targets and operators on one node."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import time
import uuid
from typing import Any

import msgspec
import structlog

from ..context.pieces import count_tokens
from ..errors import (
    NOT_RUN,
    UNKNOWN,
    InternalError,
    LaburnumpitchError,
    MalformedRequestError,
    NotFoundError,
    TargetError,
    UnauthenticatedError,
)
from ..logging import get_logger
from ..membership.configuration import is_idempotent
from ..membership.messages import OperatorCall, TargetInfo, TargetLoad
from ..statechart import load_chart
from ..transport.http_server import Headers, HttpRequest, Responder
from .completion_api import (
    CHAT_PATH,
    COMPLETION_PATH,
    DONE_EVENT,
    CompletionEncoder,
    format_sse_event,
    parse_completion,
)
from .inflight_limiter import get_fingerprint
from .model_run import ModelRun
from .service_run import ServiceCall, ServiceRun
from .services import EntryServices

SERVICES_PREFIX = "/services/"
OPERATOR_PREFIX = "/operator/"
ANNOUNCE_PATH = "/targets/announce"

JSON_HEADER = ("content-type", "application/json")
EVENT_STREAM_HEADER = ("content-type", "text/event-stream")

OPERATOR_TIMEOUT_S = 20.0
"""Timeout for an operator's request, over all control replicas."""

OPERATOR_ATTEMPT_TIMEOUT_S = 3.0
"""Timeout for one control replica to answer an operator's request."""

MAX_CALL_WAIT_S = 1.0
"""Longest wait that one call requests from a control replica. It is below the timeout
of an attempt, so that a replica that dies in the meantime delays the wait only
briefly."""

MAX_WAIT_S = 60.0
"""Longest wait for a revision to come into force."""

MAX_DEADLINE_S = 600.0
"""Longest deadline that a caller may set."""


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a target's announcement."""

    target: TargetInfo
    load: TargetLoad


class WaitBody(msgspec.Struct, frozen=True):
    """Body of an operator's request to wait until a revision is in force."""

    revision: int
    timeout_s: float = 10.0


class Gateway:
    """Answers every HTTP request of a node.

    Args:
        services: Services that all requests of the node share.
        announce_key: Key that targets must send; if empty, any target may announce.
        default_deadline_s: Deadline for the first token if the caller sets none.
    """

    def __init__(
        self, services: EntryServices, announce_key: str, default_deadline_s: float
    ) -> None:
        self.services = services
        self.announce_key = announce_key
        self.default_deadline_s = default_deadline_s
        self.chart = load_chart("request")
        self.inflight = 0
        self.log = get_logger()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request; every failure is answered with an error code."""
        request_id = uuid.uuid4().hex
        run: ModelRun | ServiceRun | None = None
        self.inflight += 1
        self.services.metrics.set_gauge("request.inflight", self.inflight)
        try:
            with structlog.contextvars.bound_contextvars(request=request_id):
                if request.path in (CHAT_PATH, COMPLETION_PATH):
                    run = self.make_model_run(request, request_id)
                    await self.handle_completion(run, responder)
                elif request.path.startswith(SERVICES_PREFIX):
                    run = self.make_service_run(request, request_id)
                    await self.handle_service_call(run, responder)
                else:
                    await self.handle_internal(request, responder)
        except LaburnumpitchError as error:
            await self.send_error(error, request_id, run, responder)
        except (ConnectionError, asyncio.CancelledError):
            self.log.info("caller_gone", request=request_id)
            raise
        except Exception as error:
            self.log.exception("request_failed", request=request_id)
            failure = InternalError(repr(error))
            await self.send_error(failure, request_id, run, responder)
        finally:
            self.inflight -= 1

    def make_model_run(self, request: HttpRequest, request_id: str) -> ModelRun:
        """Validate a completion request and create its run.

        Raises:
            LaburnumpitchError: If the request is refused.
        """
        if request.method != "POST":
            raise NotFoundError(f"no {request.method} {request.path}")
        self.require_accepting_requests()
        configuration = self.services.session.configuration
        organisation, section = configuration.authenticate(get_bearer_token(request))
        completion = parse_completion(request.path, request.body)
        model = configuration.get_model(section, completion.model)
        return ModelRun(
            self.services,
            self.chart,
            request_id,
            organisation,
            section,
            model,
            completion,
            get_fingerprint(organisation, request.body),
            self.get_deadline_s(request),
        )

    async def handle_completion(self, run: ModelRun, responder: Responder) -> None:
        """Run a completion and send its answer."""
        started_s = time.monotonic()
        encoder = CompletionEncoder(run.request_id, run.request)
        texts = []
        async with contextlib.aclosing(run.stream()) as stream:
            async for text in stream:
                if not texts:
                    self.record_first_token(run, started_s)
                texts.append(text)
                if run.request.is_streamed:
                    await self.write_chunk(run, responder, encoder.make_chunk(text))
                    texts = [""]
        self.record_completed(run, started_s)
        if run.request.is_streamed:
            last = encoder.make_chunk("", "length") + DONE_EVENT
            await self.write_chunk(run, responder, last)
            await responder.finish()
        else:
            tokens = count_tokens(run.request.prompt)
            body = encoder.make_answer("".join(texts), tokens, run.stats.tokens)
            headers = [JSON_HEADER, ("x-request-id", run.request_id)]
            await responder.send(200, headers, body)

    async def write_chunk(
        self, run: ModelRun, responder: Responder, chunk: bytes
    ) -> None:
        """Send a chunk of a stream, and the headers before the first one."""
        if not responder.has_started:
            headers = [EVENT_STREAM_HEADER, ("x-request-id", run.request_id)]
            await responder.start(200, headers)
        await responder.write(chunk)

    def record_first_token(self, run: ModelRun, started_s: float) -> None:
        """Record the time to first token."""
        duration_s = time.monotonic() - started_s
        self.services.metrics.record_duration("request.first_token", duration_s)
        run.log.info("first_token", ms=round(duration_s * 1000, 1))

    def record_completed(self, run: ModelRun, started_s: float) -> None:
        """Record a completed answer."""
        self.services.metrics.count("request.completed")
        run.log.info(
            "completed",
            tokens=run.stats.tokens,
            recomputed=run.stats.recomputed_tokens,
            reused=run.stats.reused_tokens,
            imported_bytes=run.stats.imported_bytes,
            attempts=run.stats.attempts,
            ms=round((time.monotonic() - started_s) * 1000, 1),
        )

    def make_service_run(self, request: HttpRequest, request_id: str) -> ServiceRun:
        """Validate a call of a service and create its run.

        Raises:
            LaburnumpitchError: If the call is refused.
        """
        self.require_accepting_requests()
        configuration = self.services.session.configuration
        organisation, section = configuration.authenticate(get_bearer_token(request))
        name, _, rest = request.path.removeprefix(SERVICES_PREFIX).partition("/")
        service = configuration.get_service(section, name)
        path = f"/{rest}"
        call = ServiceCall(
            name,
            request.method,
            f"{path}?{request.query}" if request.query else path,
            request.headers,
            request.body,
            request.get_header("idempotency-key"),
        )
        return ServiceRun(
            self.services,
            self.chart,
            request_id,
            organisation,
            service,
            call,
            is_idempotent(service, request.method, path),
            self.get_deadline_s(request),
        )

    async def handle_service_call(self, run: ServiceRun, responder: Responder) -> None:
        """Run a call and send the service's answer."""
        answer = await run.run()
        self.services.metrics.count("request.completed")
        run.log.info("completed", status=answer.status)
        headers = [*answer.headers, ("x-request-id", run.request_id)]
        await responder.send(answer.status, headers, answer.body)

    async def handle_internal(self, request: HttpRequest, responder: Responder) -> None:
        """Handle health checks, targets' announcements and operators' requests."""
        route = (request.method, request.path)
        if route == ("GET", "/healthz"):
            await responder.send(200, [JSON_HEADER], b'{"status":"ok"}')
        elif route == ("GET", "/readyz"):
            await self.send_readiness(responder)
        elif route == ("POST", ANNOUNCE_PATH):
            await self.handle_announcement(request, responder)
        elif request.path.startswith(OPERATOR_PREFIX) and request.method == "POST":
            await self.handle_operator(request, responder)
        else:
            raise NotFoundError(f"no {request.method} {request.path}")

    async def send_readiness(self, responder: Responder) -> None:
        """Report to a balancer whether this node accepts requests; not logged."""
        try:
            self.require_accepting_requests()
        except LaburnumpitchError as error:
            body = msgspec.json.encode(make_error_body(error, "", NOT_RUN))
            await responder.send(error.status, [JSON_HEADER], body)
        else:
            await responder.send(200, [JSON_HEADER], b'{"status":"ready"}')

    async def handle_announcement(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Authenticate a target's announcement and pass it to the session."""
        sent_key = get_bearer_token(request)
        if not hmac.compare_digest(sent_key.encode(), self.announce_key.encode()):
            raise UnauthenticatedError("invalid announce key")
        try:
            announcement = msgspec.json.decode(request.body, type=Announcement)
        except msgspec.MsgspecError as error:
            raise MalformedRequestError(str(error)) from error
        self.services.session.record_announcement(
            announcement.target, announcement.load
        )
        await responder.send(200, [JSON_HEADER], b"{}")

    async def handle_operator(self, request: HttpRequest, responder: Responder) -> None:
        """Forward an operator's request to the control leader, which checks the key."""
        action = request.path.removeprefix(OPERATOR_PREFIX)
        if action == "wait":
            body = await self.wait_until_in_force(request)
        else:
            body = await self.call_leader(request, action, request.body)
        await responder.send(200, [JSON_HEADER], body)

    async def call_leader(
        self, request: HttpRequest, action: str, body: bytes
    ) -> bytes:
        """Send one operator's request to the control leader."""
        call = OperatorCall(
            request.get_header("x-operator"), get_bearer_token(request), action, body
        )
        answer = await self.services.proposer.call(
            call, OPERATOR_TIMEOUT_S, OPERATOR_ATTEMPT_TIMEOUT_S
        )
        return answer.body

    async def wait_until_in_force(self, request: HttpRequest) -> bytes:
        """Call the leader until a revision is in force or the wait is over."""
        try:
            wait_body = msgspec.json.decode(request.body, type=WaitBody)
        except msgspec.MsgspecError as error:
            raise MalformedRequestError(str(error)) from error
        deadline_s = time.monotonic() + min(wait_body.timeout_s, MAX_WAIT_S)
        while True:
            wait_s = max(0.0, min(MAX_CALL_WAIT_S, deadline_s - time.monotonic()))
            call = WaitBody(wait_body.revision, wait_s)
            body = await self.call_leader(request, "wait", msgspec.json.encode(call))
            lagging = msgspec.json.decode(body)["lagging"]
            if not lagging or time.monotonic() >= deadline_s:
                return body

    def require_accepting_requests(self) -> None:
        """Check that this node accepts new requests.

        Raises:
            LaburnumpitchError: If it does not.
        """
        self.services.require_not_draining()
        self.services.session.require_lease()

    def get_deadline_s(self, request: HttpRequest) -> float:
        """Return the monotonic time by which the first token must come."""
        header = request.get_header("x-deadline-ms")
        if not header:
            return time.monotonic() + self.default_deadline_s
        if not header.isdecimal() or not 1 <= int(header) <= MAX_DEADLINE_S * 1000:
            raise MalformedRequestError(
                "x-deadline-ms: must be a whole number from 1 to 600000"
            )
        return time.monotonic() + int(header) / 1000

    async def send_error(
        self,
        error: LaburnumpitchError,
        request_id: str,
        run: ModelRun | ServiceRun | None,
        responder: Responder,
    ) -> None:
        """Send an error, as an event of the stream if that has started."""
        run_state = get_run_state(error, run)
        body = make_error_body(error, request_id, run_state)
        self.log.info(
            "refused" if run_state == NOT_RUN else "failed",
            request=request_id,
            code=error.code,
            detail=error.detail,
            run=run_state,
        )
        metric = "request.refused" if run_state == NOT_RUN else "request.failed"
        self.services.metrics.count(metric)
        if responder.has_started:
            # A stream without [DONE] is incomplete; this event has the reason.
            await responder.write(format_sse_event(body))
            await responder.finish()
            return
        headers: Headers = [JSON_HEADER, ("x-request-id", request_id)]
        if error.retry_after_s is not None:
            headers.append(("retry-after", str(int(error.retry_after_s + 0.999))))
        await responder.send(error.status, headers, msgspec.json.encode(body))


def get_bearer_token(request: HttpRequest) -> str:
    """Return the bearer token of the Authorization header, or an empty string."""
    scheme, _, key = request.get_header("authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def get_run_state(error: LaburnumpitchError, run: ModelRun | ServiceRun | None) -> str:
    """Return whether a failed request may have run, as reported to its caller."""
    if run is not None and run.may_have_run:
        return UNKNOWN
    if isinstance(error, TargetError) and not error.sent:
        return NOT_RUN
    return error.run


def make_error_body(
    error: LaburnumpitchError, request_id: str, run_state: str
) -> dict[str, Any]:
    """Return the body of an error answer."""
    return {
        "error": {
            "code": error.code,
            "message": error.detail,
            "request_id": request_id,
            "run": run_state,
        }
    }
