"""One sending of a request to one target, up to an answer that may be delivered."""

from __future__ import annotations

from ..errors import MalformedAnswerError, TargetError
from ..fleet.messages import TargetRecord
from ..transport.http_client import HttpAnswer
from .answer_checks import (
    check_answer,
    is_own_refusal,
    raise_not_run,
)
from .answer_deadlines import AnswerDeadlines
from .event_stream import MAX_EVENT_BYTES, EventSplitter
from .request import AdmittedRequest
from .services import RelayServices
from .target_sender import TargetSender
from .timeouts import get_start_timeout_s

MAX_READ_SHARE = 0.5
"""Share of the remaining time for an answer of unknown length, while another target can
be tried."""

SUCCESS_STATUSES = range(200, 300)


class TargetAttempt:
    """A request at a target, on which it is counted until the attempt is closed.

    Args:
        services: Services that all runs share.
        target: The target.
        admitted: The request, as the object that holds the placement there.
        deadlines: Deadlines of the target's answer, which have been started.
    """

    def __init__(
        self,
        services: RelayServices,
        target: TargetRecord,
        admitted: AdmittedRequest,
        deadlines: AnswerDeadlines,
    ) -> None:
        self.services = services
        self.target = target
        self.admitted = admitted
        self.deadlines = deadlines
        self.sender = TargetSender(services, deadlines)
        self.sent_s = services.get_time_s()
        self.answer: HttpAnswer | None = None
        self.is_prefill_pending = True
        self.is_closed = False

    @property
    def is_success(self) -> bool:
        """Whether the target has answered with a status of success."""
        return self.answer is not None and self.answer.status in SUCCESS_STATUSES

    async def open(
        self,
        *,
        resume_after: str,
        is_retry_allowed: bool,
        is_rejected: bool,
        is_bound: bool,
    ) -> None:
        """Send the request and check the head of the answer.

        The arguments are those of `TargetSender.send`.

        Raises:
            TargetError: If no answer arrived, or the one that did may not be delivered.
        """
        self.answer = await self.sender.send(
            self.target,
            self.admitted,
            resume_after=resume_after,
            is_retry_allowed=is_retry_allowed,
            is_rejected=is_rejected,
            is_bound=is_bound,
        )
        await self.check_head(self.answer)

    async def check_head(self, answer: HttpAnswer) -> None:
        """Check the head of an answer, and record what it states of the target.

        Raises:
            TargetError: If the answer may not be delivered.
        """
        services, target = self.services, self.target
        self.deadlines.release_reserved()
        metadata = services.translator.read_answer(answer.status, answer.headers)
        answer.deadline_s = self.deadlines.choose_deadline_s(
            get_start_timeout_s(self.admitted.route)
        )
        request_id = self.admitted.metadata.request_id
        model = self.admitted.metadata.model
        services.record_statements(target, metadata)
        if is_own_refusal(metadata, request_id, answer.is_first):
            if metadata.retry_after_s is not None:
                services.record_shedding(target, metadata.retry_after_s)
            await self.drain_rejection(answer)
            raise_not_run(
                services.statistics,
                target,
                metadata,
                model,
                services.fleet_view.weight_versions,
            )
        check_answer(metadata, request_id)
        if not self.is_success:
            return
        if not metadata.is_sealed:
            raise MalformedAnswerError("the answer is a success without a seal")
        if metadata.weight_version is not None:
            services.statistics.record_version(target, model, metadata.weight_version)

    async def read_first_event(self) -> None:
        """Wait for the first event of a stream, without consuming it.

        Raises:
            TargetError: If the stream breaks before it, or inside it.
        """
        answer, splitter, parts = self.answer, EventSplitter(), []
        async for data in answer.iterate_body():
            parts.append(data)
            splitter.feed(data)
            is_large = sum(map(len, parts)) > MAX_EVENT_BYTES
            if splitter.last_event_id or is_large:
                break
        if answer.is_complete and not splitter.last_event_id:
            if splitter.pending.strip() or not (parts or answer.is_framed):
                raise TargetError("the stream ended before its first event")
        answer.unread_parts = parts

    async def read_body(self) -> bytes:
        """Return the complete body; each part that arrives leaves time for the next.

        A body of unknown length may have no end, so it leaves time for another target.

        Raises:
            TargetError: If the body is truncated, too large or stalls.
        """
        timeout_s = get_start_timeout_s(self.admitted.route)
        end_s = self.deadlines.deadline_s
        if not self.answer.has_length:
            end_s = self.deadlines.choose_deadline_s(
                self.deadlines.remaining_s * MAX_READ_SHARE
            )
        return await self.answer.read(
            lambda: min(end_s, self.deadlines.choose_deadline_s(timeout_s))
        )

    async def drain_rejection(self, answer: HttpAnswer) -> None:
        """Read a rejection to its end, so that its connection can be reused."""
        answer.set_final_deadline(answer.deadline_s)
        try:
            await self.read_body()
        except TargetError as error:
            self.services.log.debug("rejection_cut", detail=error.detail)

    def end_prefill(self) -> None:
        """Record that the first event has arrived, unless that was recorded."""
        if self.is_prefill_pending:
            self.is_prefill_pending = False
            duration_s = self.services.get_time_s() - self.sent_s
            self.services.dispatcher.record_prefill_end(
                self.target, self.admitted, duration_s
            )

    def record_completed(self, first_event_s: float | None) -> None:
        """Record that the answer was delivered whole.

        Args:
            first_event_s: When the first event of a stream arrived, maybe from another
                target; None without events.
        """
        services, target = self.services, self.target
        ended_s = services.get_time_s()
        services.statistics.record_success(target, ended_s - self.sent_s)
        services.crash_reports.record_completed(self.admitted)
        if first_event_s is not None:
            tokens = self.admitted.metadata.output_tokens
            duration_s = ended_s - max(self.sent_s, first_event_s)
            services.statistics.record_generation(target, tokens, duration_s)

    def cancel_saves(self) -> None:
        """Cancel the saves of kept context of a request that the target did not run."""
        self.services.planner.cancel_saves(self.admitted, self.sender.context)

    def close(self) -> None:
        """Release the connection and the target; only the first call has an effect."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.answer is not None:
            self.answer.close()
        if self.is_prefill_pending:
            self.services.dispatcher.record_prefill_end(
                self.target, self.admitted, None
            )
        self.services.dispatcher.release(self.target, self.admitted)
