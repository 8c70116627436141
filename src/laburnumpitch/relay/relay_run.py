"""The run of one request, which tries targets in turn until one answers it."""

from __future__ import annotations

import asyncio

from ..errors import (
    NoTargetError,
    OverloadedError,
    SendWithdrawnError,
    TargetError,
    TargetRefusedError,
)
from ..fleet.messages import TargetRecord
from ..transport.http_server import Headers, Responder
from .answer_checks import NOT_RUN_STATUSES
from .answer_deadlines import AnswerDeadlines
from .configuration import STREAMING, RoutingConfiguration
from .hedged_send import HedgedSend
from .request import AdmittedRequest, FallbackAnswer
from .services import RelayServices
from .stream_binding import StreamBinding
from .stream_relay import StreamRelay
from .target_attempt import TargetAttempt
from .timeouts import get_gap_timeout_s

MAX_REJECTIONS = 3
"""Number of targets that may reject a request or be unreachable before the request is
refused."""

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
        self.attempt: TargetAttempt | None = None
        """The last sending of the request."""
        self.hedged_send: HedgedSend | None = None
        """The sending in progress, if it may use a second target."""
        if services.repeated_sends is not None and self.route.is_retryable:
            services.repeated_sends.record_request()
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

    @property
    def remaining_s(self) -> float:
        """Time left until the request has to be answered."""
        return self.deadlines.remaining_s

    @property
    def build(self) -> str:
        """Build that every further target must have; empty for any."""
        return self.binding.build

    @property
    def last_target_id(self) -> str:
        """The target that had the request last; empty before the first one."""
        return "" if self.attempt is None else self.attempt.target.target_id

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
            try:
                await self.send(target)
                return
            except SendWithdrawnError:
                # Nothing was sent, and the target has not failed.
                continue
            except TargetRefusedError as error:
                self.handle_rejection(self.attempt.target, error)
            except TargetError as error:
                self.handle_failure(self.attempt, error)
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
        self.deadlines.start(target, self.admitted, self.excluded)
        self.attempt = TargetAttempt(
            self.services, target, self.admitted, self.deadlines
        )
        try:
            if not self.may_have_run:
                self.services.stop_deadline.check(self.remaining_s, self.route)
            await self.open_attempt()
            await self.deliver_answer(self.attempt)
            self.attempt.record_completed(self.first_event_s)
        except asyncio.CancelledError:
            self.may_have_run |= self.attempt.sender.written_s is not None
            raise
        except TargetError as error:
            if not error.sent:
                self.attempt.cancel_saves()
            raise
        finally:
            self.attempt.close()

    async def open_attempt(self) -> None:
        """Send the request, and maybe to a second target while the first one is late.

        `attempt` is then the one whose answer may be delivered, or the last to fail.

        Raises:
            TargetError: If there is no answer that may be delivered.
        """
        repeated_sends = self.services.repeated_sends
        if (
            repeated_sends is None
            or self.responder.has_started
            or not self.count_runs_left()
        ):
            await self.open(self.attempt)
            return
        self.hedged_send = HedgedSend(self.services, repeated_sends, self, self.attempt)
        try:
            await self.hedged_send.open()
        finally:
            self.attempt = self.hedged_send.last
            self.deadlines = self.attempt.deadlines
            self.hedged_send = None

    async def open(self, attempt: TargetAttempt) -> None:
        """Send the request to an attempt's target and check the head of its answer.

        Raises:
            TargetError: If there is no answer that may be delivered.
        """
        await attempt.open(
            resume_after=self.stream.last_event_id,
            is_retry_allowed=self.is_retry_allowed(),
            is_rejected=self.rejections > 0,
            is_bound=bool(self.binding.build),
        )

    async def deliver_answer(self, attempt: TargetAttempt) -> None:
        """Deliver an answer whose head was checked.

        Raises:
            TargetError: If it breaks off, or another target may succeed.
        """
        answer = attempt.answer
        if not attempt.is_success:
            await self.handle_error_answer(attempt)
        elif self.route.kind == STREAMING:
            await self.deliver_stream(attempt)
        else:
            body = await attempt.read_body()
            await self.deliver(answer.status, answer.headers, body)

    async def handle_error_answer(self, attempt: TargetAttempt) -> None:
        """Deliver a target's error answer, or keep it as fallback before a retry.

        Raises:
            TargetError: If another target may succeed, if the client has received the
                beginning of a stream, or if the status states that the request has not
                run without the target confirming it.
        """
        answer = attempt.answer
        body = await attempt.read_body()
        if self.responder.has_started:
            raise TargetError(f"the stream broke off, its rest is {answer.status}")
        if answer.status in NOT_RUN_STATUSES:
            raise TargetError("the status for not run is not confirmed")
        if answer.status >= MIN_SERVER_ERROR_STATUS and self.is_retry_allowed():
            await self.responder.hold(len(body))
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

    async def deliver_stream(self, attempt: TargetAttempt) -> None:
        """Send events to the client as they arrive.

        Raises:
            TargetError: If the stream breaks before its end, or stalls.
        """
        target, answer = attempt.target, attempt.answer
        headers = self.services.make_answer_headers(answer.headers)
        gap_timeout_s = get_gap_timeout_s(self.route)
        self.binding.check_incarnation(target)
        self.stream.on_start = lambda: self.begin_stream(target)
        async for _ in self.stream.deliver(answer, headers):
            self.record_event(attempt)
            self.binding.check_progress(target)
            answer.deadline_s = self.deadlines.choose_deadline_s(gap_timeout_s)

    def begin_stream(self, target: TargetRecord) -> None:
        """Record that a target begins the stream, before its first event goes out.

        From then on the client can receive no other answer.
        """
        self.fallback = None
        self.binding.begin(target)

    def record_event(self, attempt: TargetAttempt) -> None:
        """Record that an event of a stream has arrived, which ends the prefill."""
        services = self.services
        attempt.deadlines.release_reserved()
        attempt.end_prefill()
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
        is_at_two = self.hedged_send is not None and self.hedged_send.has_two
        if is_at_two or not self.is_retry_allowed():
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

    def record_rejection(self, target: TargetRecord, error: TargetRefusedError) -> None:
        """Exclude a target that certainly did not run the request."""
        self.excluded.add(target.target_id)
        self.rejections += 1
        self.services.log_outcome("rejected", self.admitted, target, error)

    def handle_rejection(self, target: TargetRecord, error: TargetRefusedError) -> None:
        """Go on after a target that certainly did not run the request.

        Raises:
            LaburnumpitchError: If no other target may be tried.
        """
        self.record_rejection(target, error)
        is_allowed = (
            self.rejections <= MAX_REJECTIONS
            and self.services.try_spend_retry(self.admitted.service)
        )
        if is_allowed:
            return
        if self.may_have_run or self.responder.has_started:
            raise TargetError("a target failed, and another rejected the request")
        raise OverloadedError("targets rejected the request")

    def record_failure(self, attempt: TargetAttempt, error: TargetError) -> None:
        """Record a failed target and exclude it."""
        services, target = self.services, attempt.target
        if self.remaining_s > 0 or not error.sent:
            services.statistics.record_failure(target, error.is_unreachable)
            if error.is_unreachable:
                services.report_unreachable(target, error)
        services.log_outcome("failed", self.admitted, target, error)
        self.excluded.add(target.target_id)
        if not error.sent:
            self.rejections += 1
            return
        self.may_have_run = True
        self.possible_runs += 1
        if error.has_died:
            has_begun = not attempt.is_prefill_pending
            services.crash_reports.start_report(self.admitted, target, has_begun)

    def record_abandoned(self, attempt: TargetAttempt) -> None:
        """Record a target from which the request was taken back."""
        written_s = attempt.sender.written_s
        if written_s is not None:
            age_s = self.services.get_time_s() - written_s
            self.services.statistics.record_abandoned(attempt.target, age_s)
            self.excluded.add(attempt.target.target_id)
            self.may_have_run = True
            self.possible_runs += 1

    def handle_failure(self, attempt: TargetAttempt, error: TargetError) -> None:
        """Go on after a failed target.

        Raises:
            LaburnumpitchError: If no other target may be tried.
        """
        is_late = self.remaining_s <= 0
        self.record_failure(attempt, error)
        if not error.sent:
            if self.rejections <= MAX_REJECTIONS and not is_late:
                return
            if self.may_have_run:
                raise TargetError("a target failed, and others are unreachable")
            raise NoTargetError("targets are unreachable")
        self.stream.discard_pending()
        self.may_retry = self.has_retry_left() and self.services.try_spend_retry(
            self.admitted.service
        )
