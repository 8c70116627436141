"""The run of one request, which tries targets in turn until one answers it."""

from __future__ import annotations

from ..errors import (
    MalformedAnswerError,
    NoTargetError,
    OverloadedError,
    TargetError,
    TargetRefusedError,
)
from ..fleet.messages import TargetRecord
from ..transport.http_client import HttpAnswer
from ..transport.http_server import Headers, Responder
from .answer_checks import (
    NOT_RUN_STATUSES,
    check_answer,
    is_own_refusal,
    raise_not_run,
    states_leaving,
)
from .answer_deadlines import AnswerDeadlines
from .configuration import STREAMING, RoutingConfiguration
from .request import AdmittedRequest, FallbackAnswer
from .services import RelayServices
from .stream_binding import StreamBinding
from .stream_relay import StreamRelay
from .target_sender import TargetSender
from .timeouts import get_gap_timeout_s, get_start_timeout_s

MAX_REJECTIONS = 3
"""Number of targets that may reject a request or be unreachable before the request is
refused."""

MAX_READ_SHARE = 0.5
"""Share of the remaining time for an answer of unknown length, while another target can
be tried."""

SUCCESS_STATUSES = range(200, 300)
MIN_SERVER_ERROR_STATUS = 500


class RelayRun:
    """Relays one request.

    Args:
        services: Services that all runs share.
        admitted: The request.
        responder: Sends the answer to the client.
    """

    def __init__(
        self, services: RelayServices, admitted: AdmittedRequest, responder: Responder
    ) -> None:
        self.services = services
        self.admitted = admitted
        self.responder = responder
        self.route = admitted.route
        self.started_s = admitted.request.received_at_s
        self.binding = StreamBinding(services, admitted)
        self.deadlines = AnswerDeadlines(
            services,
            self.started_s + admitted.timeout_s,
            self.count_runs_left,
            lambda: self.binding.build,
        )
        self.sender = TargetSender(services, self.deadlines)
        self.excluded: set[str] = set()
        """Targets that failed or rejected the request."""
        self.may_have_run = False
        self.possible_runs = 0
        """Number of targets that may have run the request."""
        self.rejections = 0
        """Number of targets that rejected the request or were unreachable."""
        self.is_retryable = self.route.is_retryable
        """Whether `checked_configuration` lets the request run more than once."""
        self.checked_configuration: RoutingConfiguration | None = None
        self.may_retry = True
        """Whether the request may be sent again after its last failure."""
        self.fallback: FallbackAnswer | None = None
        self.stream = StreamRelay(responder, self.route.is_resumable)
        self.first_event_s: float | None = None
        self.last_target_id = ""

    @property
    def remaining_s(self) -> float:
        """Time left until the request has to be answered."""
        return self.deadlines.remaining_s

    async def serve(self) -> None:
        """Send the request to targets in turn until it is answered.

        Raises:
            LaburnumpitchError: If no target answers it; the client has received
                nothing then, or the beginning of a stream.
        """
        try:
            await self.try_targets()
        finally:
            self.deadlines.close()
            self.stream.close()

    async def try_targets(self) -> None:
        """Send the request to targets in turn until it is answered.

        Raises:
            LaburnumpitchError: If no target answers it.
        """
        while True:
            try:
                target = await self.acquire()
            except (NoTargetError, OverloadedError) as error:
                if self.fallback is not None:
                    await self.deliver_fallback()
                    return
                if self.may_have_run:
                    raise TargetError("a target failed, no other is left") from error
                raise
            self.last_target_id = target.target_id
            try:
                await self.send(target)
                return
            except TargetRefusedError as error:
                self.handle_rejection(target, error)
            except TargetError as error:
                self.handle_failure(target, error)
                if not self.may_retry and self.fallback is None:
                    raise
            may_retry = self.may_retry and self.has_retry_left()
            if self.fallback is not None and not may_retry:
                await self.deliver_fallback()
                return

    async def acquire(self) -> TargetRecord:
        """Return the next target, on which the request is counted.

        Raises:
            LaburnumpitchError: If there is none.
        """
        reserved = self.deadlines.take_reserved()
        if reserved is not None:
            self.admitted = reserved.admitted
            return reserved.target
        return await self.services.dispatcher.acquire(
            self.admitted,
            frozenset(self.excluded),
            self.deadlines.deadline_s,
            self.binding.build,
        )

    async def send(self, target: TargetRecord) -> None:
        """Send the request to one target and deliver its answer.

        Raises:
            TargetError: If the target failed or rejected the request.
        """
        services = self.services
        self.sent_s = sent_s = services.get_time_s()
        self.is_prefill_pending = True
        self.deadlines.start(target, self.admitted, self.excluded)
        answer = None
        try:
            answer = await self.sender.send(
                target,
                self.admitted,
                resume_after=self.stream.last_event_id,
                is_retry_allowed=self.is_retry_allowed(),
                is_rejected=self.rejections > 0,
                is_bound=bool(self.binding.build),
            )
            await self.handle_answer(target, answer)
            ended_s = services.get_time_s()
            services.statistics.record_success(target, ended_s - sent_s)
            services.crash_reports.record_completed(self.admitted)
            if self.first_event_s is not None:
                tokens = self.admitted.metadata.output_tokens
                duration_s = ended_s - max(sent_s, self.first_event_s)
                services.statistics.record_generation(target, tokens, duration_s)
        except TargetError as error:
            if not error.sent:
                services.planner.cancel_saves(self.admitted, self.sender.context)
            raise
        finally:
            if answer is not None:
                answer.close()
            if self.is_prefill_pending:
                services.dispatcher.record_prefill_end(target, self.admitted, None)
            services.dispatcher.release(target, self.admitted)

    async def handle_answer(self, target: TargetRecord, answer: HttpAnswer) -> None:
        """Check an answer and deliver it.

        Raises:
            TargetError: If the answer may not be delivered.
        """
        services = self.services
        self.deadlines.release_reserved()
        metadata = services.translator.read_answer(answer.status, answer.headers)
        answer.deadline_s = self.deadlines.choose_deadline_s(
            get_start_timeout_s(self.route)
        )
        request_id = self.admitted.metadata.request_id
        if states_leaving(metadata, target.target_id):
            services.record_leaving(target)
        if is_own_refusal(metadata, request_id, answer.is_first):
            if metadata.retry_after_s is not None:
                services.record_shedding(target, metadata.retry_after_s)
            await self.drain_rejection(answer)
            raise_not_run(
                services.statistics,
                target,
                metadata,
                self.admitted.metadata.model,
                services.fleet_view.weight_versions,
            )
        check_answer(metadata, request_id)
        if answer.status not in SUCCESS_STATUSES:
            await self.handle_error_answer(answer)
            return
        if not metadata.is_sealed:
            raise MalformedAnswerError("the answer is a success without a seal")
        if metadata.weight_version is not None:
            model = self.admitted.metadata.model
            services.statistics.record_version(target, model, metadata.weight_version)
        if self.route.kind == STREAMING:
            await self.deliver_stream(target, answer)
        else:
            body = await self.read_body(answer)
            await self.deliver(answer.status, answer.headers, body)

    async def read_body(self, answer: HttpAnswer) -> bytes:
        """Return the complete body; each part that arrives leaves time for the next.

        A body of unknown length may have no end, so it leaves time for another target.

        Raises:
            TargetError: If the body is truncated, too large or stalls.
        """
        timeout_s = get_start_timeout_s(self.route)
        end_s = self.deadlines.deadline_s
        if not answer.has_length:
            end_s = self.deadlines.choose_deadline_s(self.remaining_s * MAX_READ_SHARE)
        return await answer.read(
            lambda: min(end_s, self.deadlines.choose_deadline_s(timeout_s))
        )

    async def drain_rejection(self, answer: HttpAnswer) -> None:
        """Read a rejection to its end, so that its connection can be reused."""
        answer.set_final_deadline(answer.deadline_s)
        try:
            await self.read_body(answer)
        except TargetError as error:
            self.services.log.debug("rejection_cut", detail=error.detail)

    async def handle_error_answer(self, answer: HttpAnswer) -> None:
        """Deliver a target's error answer, or keep it as fallback before a retry.

        Raises:
            TargetError: If another target may succeed, if the client has received the
                beginning of a stream, or if the status states that the request has not
                run without the target confirming it.
        """
        body = await self.read_body(answer)
        if self.responder.has_started:
            raise TargetError(f"the stream broke off, its rest is {answer.status}")
        if answer.status in NOT_RUN_STATUSES:
            raise TargetError("the status for not run is not confirmed")
        if answer.status >= MIN_SERVER_ERROR_STATUS and self.is_retry_allowed():
            self.fallback = FallbackAnswer(answer.status, answer.headers, body)
            raise TargetError(f"the target answered {answer.status}")
        await self.deliver(answer.status, answer.headers, body)

    async def deliver(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer to the client."""
        answer_headers = self.services.make_answer_headers(headers)
        await self.responder.send(status, answer_headers, body)

    async def deliver_fallback(self) -> None:
        """Send the error answer that was kept as fallback."""
        await self.deliver(
            self.fallback.status, self.fallback.headers, self.fallback.body
        )

    async def deliver_stream(self, target: TargetRecord, answer: HttpAnswer) -> None:
        """Send events to the client as they arrive.

        Raises:
            TargetError: If the stream breaks before its end, or stalls.
        """
        headers = self.services.make_answer_headers(answer.headers)
        gap_timeout_s = get_gap_timeout_s(self.route)
        self.binding.check_incarnation(target)
        self.stream.on_start = lambda: self.begin_stream(target)
        async for _ in self.stream.deliver(answer, headers):
            self.record_event(target)
            self.binding.check_progress(target)
            answer.deadline_s = self.deadlines.choose_deadline_s(gap_timeout_s)

    def begin_stream(self, target: TargetRecord) -> None:
        """Record that a target begins the stream, before its first event goes out.

        From then on the client can receive no other answer.
        """
        self.fallback = None
        self.binding.begin(target)

    def record_event(self, target: TargetRecord) -> None:
        """Record that an event of a stream has arrived, which ends the prefill."""
        services = self.services
        self.deadlines.release_reserved()
        if self.is_prefill_pending:
            self.is_prefill_pending = False
            duration_s = services.get_time_s() - self.sent_s
            services.dispatcher.record_prefill_end(target, self.admitted, duration_s)
        if self.first_event_s is None:
            self.first_event_s = services.get_time_s()
            services.record_first_event(self.first_event_s - self.started_s)

    def is_retry_allowed(self) -> bool:
        """Whether the route allows another run after what the client has received."""
        is_resumable = self.route.is_resumable and not self.binding.is_uncertain
        if self.responder.has_started and not is_resumable:
            return False
        configuration = self.services.fleet_view.configuration
        if configuration is not self.checked_configuration:
            # Asked for each event of a stream, and a configuration has many routes.
            self.checked_configuration = configuration
            self.is_retryable = self.services.is_retryable(self.admitted)
        return self.is_retryable

    def count_runs_left(self) -> int:
        """Return the number of further targets that may run the request."""
        if not self.is_retry_allowed():
            return 0
        return max(0, self.route.max_targets - self.possible_runs - 1)

    def has_retry_left(self) -> bool:
        """Whether a request that may have run may be sent to another target."""
        return (
            self.is_retry_allowed()
            and self.possible_runs < self.route.max_targets
            and self.remaining_s > 0
            and not self.services.crash_reports.is_suspect(self.admitted)
        )

    def handle_rejection(self, target: TargetRecord, error: TargetRefusedError) -> None:
        """Exclude a target that certainly did not run the request.

        Raises:
            LaburnumpitchError: If no other target may be tried.
        """
        self.excluded.add(target.target_id)
        self.rejections += 1
        self.services.log_outcome("rejected", self.admitted, target, error)
        is_allowed = (
            self.rejections <= MAX_REJECTIONS
            and self.services.try_spend_retry(self.admitted.service)
        )
        if is_allowed:
            return
        if self.may_have_run or self.responder.has_started:
            raise TargetError("a target failed, and another rejected the request")
        raise OverloadedError("targets rejected the request")

    def handle_failure(self, target: TargetRecord, error: TargetError) -> None:
        """Record a failed target and exclude it.

        Raises:
            LaburnumpitchError: If no other target may be tried.
        """
        services = self.services
        is_late = self.remaining_s <= 0
        if not is_late or not error.sent:
            services.statistics.record_failure(target, error.is_unreachable)
            if error.is_unreachable:
                services.report_unreachable(target)
        services.log_outcome("failed", self.admitted, target, error)
        self.excluded.add(target.target_id)
        if not error.sent:
            self.rejections += 1
            if self.rejections <= MAX_REJECTIONS and not is_late:
                return
            if self.may_have_run:
                raise TargetError("a target failed, and others are unreachable")
            raise NoTargetError("targets are unreachable")
        self.may_have_run = True
        self.possible_runs += 1
        if error.has_died:
            has_begun = not self.is_prefill_pending
            services.crash_reports.start_report(self.admitted, target, has_begun)
        self.stream.discard_pending()
        self.may_retry = self.has_retry_left() and services.try_spend_retry(
            self.admitted.service
        )
