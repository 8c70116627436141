"""Routes callers', targets' and operators' HTTP requests on one node."""

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
    CompletionWriter,
    format_event,
    read_completion,
)
from .flight_guard import get_fingerprint
from .model_run import ModelRun
from .service_run import ServiceCall, ServiceRun
from .services import EntryServices

SERVICES_PREFIX = "/services/"
OPERATOR_PREFIX = "/operator/"
ANNOUNCE_PATH = "/targets/announce"

JSON_TYPE = ("content-type", "application/json")
STREAM_TYPE = ("content-type", "text/event-stream")

OPERATOR_TIMEOUT_S = 20.0
"""Time for an operator's request over all control replicas."""

OPERATOR_ATTEMPT_S = 3.0
"""Time for one control replica to answer an operator."""

WAIT_SLICE_S = 1.0
"""Part of a wait that one control replica is asked for, below the attempt's time,
so that a replica that dies meanwhile holds the wait up for a short time only."""

MAX_WAIT_S = 60.0
"""Longest wait for a revision to be in force."""

MAX_DEADLINE_S = 600.0
"""Longest deadline that a caller may ask for."""


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a target's announcement."""

    target: TargetInfo
    load: TargetLoad


class WaitBody(msgspec.Struct, frozen=True):
    """Body of an operator's wait."""

    revision: int
    timeout_s: float = 10.0


class Gateway:
    """Answers every HTTP request of a node.

    Args:
        services: What the node's requests share.
        announce_key: Key that targets must send; empty lets all announce.
        default_deadline_s: Time to the first token if the caller names none.
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
        """Answer one request; every failure has a code."""
        request_id = uuid.uuid4().hex
        run: ModelRun | ServiceRun | None = None
        self.inflight += 1
        self.services.metrics.set_gauge("request.inflight", self.inflight)
        try:
            with structlog.contextvars.bound_contextvars(request=request_id):
                if request.path in (CHAT_PATH, COMPLETION_PATH):
                    run = self.make_model_run(request, request_id)
                    await self.answer_completion(run, responder)
                elif request.path.startswith(SERVICES_PREFIX):
                    run = self.make_service_run(request, request_id)
                    await self.answer_service(run, responder)
                else:
                    await self.answer_other(request, responder)
        except LaburnumpitchError as error:
            await self.answer_error(error, request_id, run, responder)
        except (ConnectionError, asyncio.CancelledError):
            self.log.info("caller_gone", request=request_id)
            raise
        except Exception as error:
            self.log.exception("request_failed", request=request_id)
            failure = InternalError(repr(error))
            await self.answer_error(failure, request_id, run, responder)
        finally:
            self.inflight -= 1

    # Completions.

    def make_model_run(self, request: HttpRequest, request_id: str) -> ModelRun:
        """Check a completion request and prepare its run.

        Raises:
            LaburnumpitchError: If the request is refused.
        """
        if request.method != "POST":
            raise NotFoundError(f"no {request.method} {request.path}")
        self.require_open()
        configuration = self.services.session.configuration
        name, section = configuration.authenticate(get_bearer(request))
        completion = read_completion(request.path, request.body)
        model = configuration.get_model(section, completion.model)
        return ModelRun(
            self.services,
            self.chart,
            request_id,
            name,
            section,
            model,
            completion,
            get_fingerprint(name, request.body),
            self.get_deadline(request),
        )

    async def answer_completion(self, run: ModelRun, responder: Responder) -> None:
        """Run a completion and send its answer."""
        started_s = time.monotonic()
        writer = CompletionWriter(run.request_id, run.request)
        parts = []
        async with contextlib.aclosing(run.stream()) as stream:
            async for text in stream:
                if not parts:
                    self.note_first_token(run, started_s)
                parts.append(text)
                if run.request.is_streamed:
                    await self.write_chunk(run, responder, writer.make_chunk(text))
                    parts = [""]
        self.note_completed(run, started_s)
        if run.request.is_streamed:
            last = writer.make_chunk("", "length") + DONE_EVENT
            await self.write_chunk(run, responder, last)
            await responder.finish()
        else:
            tokens = count_tokens(run.request.prompt)
            body = writer.make_whole("".join(parts), tokens, run.stats.tokens)
            headers = [JSON_TYPE, ("x-request-id", run.request_id)]
            await responder.send(200, headers, body)

    async def write_chunk(
        self, run: ModelRun, responder: Responder, chunk: bytes
    ) -> None:
        """Send a part of a stream, and the headers before the first one."""
        if not responder.has_started:
            headers = [STREAM_TYPE, ("x-request-id", run.request_id)]
            await responder.start(200, headers)
        await responder.write(chunk)

    def note_first_token(self, run: ModelRun, started_s: float) -> None:
        """Record the time to first token."""
        duration_s = time.monotonic() - started_s
        self.services.metrics.time("request.first_token", duration_s)
        run.log.info("first_token", ms=round(duration_s * 1000, 1))

    def note_completed(self, run: ModelRun, started_s: float) -> None:
        """Record a whole answer."""
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

    # Services.

    def make_service_run(self, request: HttpRequest, request_id: str) -> ServiceRun:
        """Check a call of a service and prepare its run.

        Raises:
            LaburnumpitchError: If the call is refused.
        """
        self.require_open()
        configuration = self.services.session.configuration
        organisation, section = configuration.authenticate(get_bearer(request))
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
            self.get_deadline(request),
        )

    async def answer_service(self, run: ServiceRun, responder: Responder) -> None:
        """Run a call and pass the service's answer on."""
        answer = await run.run()
        self.services.metrics.count("request.completed")
        run.log.info("completed", status=answer.status)
        headers = [*answer.headers, ("x-request-id", run.request_id)]
        await responder.send(answer.status, headers, answer.body)

    # Everything else.

    async def answer_other(self, request: HttpRequest, responder: Responder) -> None:
        """Answer health checks, targets and operators."""
        route = (request.method, request.path)
        if route == ("GET", "/healthz"):
            await responder.send(200, [JSON_TYPE], b'{"status":"ok"}')
        elif route == ("GET", "/readyz"):
            await self.answer_readiness(responder)
        elif route == ("POST", ANNOUNCE_PATH):
            await self.answer_announcement(request, responder)
        elif request.path.startswith(OPERATOR_PREFIX) and request.method == "POST":
            await self.answer_operator(request, responder)
        else:
            raise NotFoundError(f"no {request.method} {request.path}")

    async def answer_readiness(self, responder: Responder) -> None:
        """Tell a balancer whether this node takes new work; not logged."""
        try:
            self.require_open()
        except LaburnumpitchError as error:
            body = msgspec.json.encode(make_error_body(error, "", NOT_RUN))
            await responder.send(error.status, [JSON_TYPE], body)
        else:
            await responder.send(200, [JSON_TYPE], b'{"status":"ready"}')

    async def answer_announcement(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Take a target's announcement."""
        given = get_bearer(request)
        if not hmac.compare_digest(given.encode(), self.announce_key.encode()):
            raise UnauthenticatedError("the announce key is wrong")
        try:
            item = msgspec.json.decode(request.body, type=Announcement)
        except msgspec.MsgspecError as error:
            raise MalformedRequestError(str(error)) from error
        self.services.session.record_announcement(item.target, item.load)
        await responder.send(200, [JSON_TYPE], b"{}")

    async def answer_operator(self, request: HttpRequest, responder: Responder) -> None:
        """Pass an operator's request to the control leader, which checks the key."""
        action = request.path.removeprefix(OPERATOR_PREFIX)
        if action == "wait":
            body = await self.wait_in_force(request)
        else:
            body = await self.call_operator(request, action, request.body)
        await responder.send(200, [JSON_TYPE], body)

    async def call_operator(
        self, request: HttpRequest, action: str, body: bytes
    ) -> bytes:
        """Send one operator request to the control leader."""
        call = OperatorCall(
            request.get_header("x-operator"), get_bearer(request), action, body
        )
        answer = await self.services.control.call(
            call, OPERATOR_TIMEOUT_S, OPERATOR_ATTEMPT_S
        )
        return answer.body

    async def wait_in_force(self, request: HttpRequest) -> bytes:
        """Ask in slices until a revision is in force or the wait is over."""
        try:
            wait = msgspec.json.decode(request.body, type=WaitBody)
        except msgspec.MsgspecError as error:
            raise MalformedRequestError(str(error)) from error
        deadline_s = time.monotonic() + min(wait.timeout_s, MAX_WAIT_S)
        while True:
            slice_s = max(0.0, min(WAIT_SLICE_S, deadline_s - time.monotonic()))
            part = WaitBody(wait.revision, slice_s)
            body = await self.call_operator(request, "wait", msgspec.json.encode(part))
            lagging = msgspec.json.decode(body)["lagging"]
            if not lagging or time.monotonic() >= deadline_s:
                return body

    # Shared.

    def require_open(self) -> None:
        """Check that this node takes new work.

        Raises:
            LaburnumpitchError: If it does not.
        """
        self.services.require_running()
        self.services.session.require_lease()

    def get_deadline(self, request: HttpRequest) -> float:
        """Return the monotonic time by which the first token must come."""
        text = request.get_header("x-deadline-ms")
        if not text:
            return time.monotonic() + self.default_deadline_s
        if not text.isdecimal() or not 1 <= int(text) <= MAX_DEADLINE_S * 1000:
            raise MalformedRequestError("x-deadline-ms: 1 to 600000")
        return time.monotonic() + int(text) / 1000

    async def answer_error(
        self,
        error: LaburnumpitchError,
        request_id: str,
        run: ModelRun | ServiceRun | None,
        responder: Responder,
    ) -> None:
        """Send a typed failure, within the stream if it has begun."""
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
            # A stream without [DONE] is not whole, and says why.
            await responder.write(format_event(body))
            await responder.finish()
            return
        headers: Headers = [JSON_TYPE, ("x-request-id", request_id)]
        if error.retry_after_s is not None:
            headers.append(("retry-after", str(int(error.retry_after_s + 0.999))))
        await responder.send(error.status, headers, msgspec.json.encode(body))


def get_bearer(request: HttpRequest) -> str:
    """Return the key of the Authorization header, or an empty string."""
    scheme, _, key = request.get_header("authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def get_run_state(error: LaburnumpitchError, run: ModelRun | ServiceRun | None) -> str:
    """Return whether a failed request may have run, as told to its caller."""
    if run is not None and run.has_sent:
        return UNKNOWN
    if isinstance(error, TargetError) and not error.sent:
        return NOT_RUN
    return error.run


def make_error_body(
    error: LaburnumpitchError, request_id: str, run_state: str
) -> dict[str, Any]:
    """Return the JSON form of a failure."""
    return {
        "error": {
            "code": error.code,
            "message": error.detail,
            "request_id": request_id,
            "run": run_state,
        }
    }
