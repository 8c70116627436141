"""Runs one completion: admission, engine selection, streaming and retries."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from ..context.pieces import count_tokens
from ..control.document import ModelSection, OrganisationSection
from ..control.state_machine import MAX_TARGET_DEATHS
from ..errors import (
    LaburnumpitchError,
    MalformedAnswerError,
    QuarantinedError,
    StreamBrokenError,
    TargetError,
    TargetRefusedError,
)
from ..logging import get_logger
from ..membership.messages import TargetInfo
from ..policy.retry_budget import RetryBudget
from ..policy.selection_types import Plan
from ..statechart import StateChart, StateMachine
from ..targets.http_engine import HttpEngine
from ..targets.protocols import GenerateRequest, RunEnd, TokenChunk
from .completion_api import CompletionRequest
from .engine_selector import EngineSelector
from .quarantine_client import Trial
from .services import EntryServices

MAX_ATTEMPTS = 6
"""Maximum number of attempts of one request, over all targets."""

PROBE_TIMEOUT_S = 0.5
"""Timeout for the check whether a target is still alive."""

CANCEL_TIMEOUT_S = 2.0
"""Timeout for cancelling the generation for a caller that disconnected."""


def get_queue_cost(request: CompletionRequest) -> float:
    """Return a request's cost in fair queueing."""
    return 1.0 + count_tokens(request.prompt) / 1000 + request.max_tokens / 100


@dataclass
class RunStats:
    """Resources that a run has used."""

    tokens: int = 0
    recomputed_tokens: int = 0
    reused_tokens: int = 0
    imported_bytes: int = 0
    attempts: int = 0


class ModelRun:
    """One completion, over all of its attempts.

    Args:
        services: Services that all requests of the node share.
        chart: State chart of a request's lifecycle.
        request_id: Identifier of the request.
        organisation: Name of the caller's organisation.
        organisation_section: The organisation's section of the configuration.
        model: The model's section that was in force when the request arrived.
        request: The caller's request.
        fingerprint: Fingerprint that equal requests of the organisation share.
        deadline_s: Monotonic time by which the first token must come.
    """

    def __init__(
        self,
        services: EntryServices,
        chart: StateChart,
        request_id: str,
        organisation: str,
        organisation_section: OrganisationSection,
        model: ModelSection,
        request: CompletionRequest,
        fingerprint: str,
        deadline_s: float,
    ) -> None:
        self.services = services
        self.machine = StateMachine(chart)
        self.request_id = request_id
        self.organisation = organisation
        self.organisation_section = organisation_section
        self.request = request
        self.fingerprint = fingerprint
        self.deadline_s = deadline_s
        self.stats = RunStats()
        self.delivered_tokens = 0
        """Number of tokens that the caller has received."""
        self.selector = EngineSelector(
            services, organisation, organisation_section, model, request
        )
        self.last_target: TargetInfo | None = None
        self.may_have_run = False
        """Whether any target may have run the request."""
        self.log = get_logger().bind(request=request_id, organisation=organisation)

    @property
    def model(self) -> ModelSection:
        """The model's section that the run uses."""
        return self.selector.model

    async def choose_target(self) -> tuple[Plan, TargetInfo]:
        """Choose a target for the next attempt, and wait until there is one."""
        return await self.selector.choose_target(
            self.deadline_s,
            is_retry=self.stats.attempts > 1,
            has_streamed=self.delivered_tokens > 0,
        )

    async def stream(self) -> AsyncIterator[str]:
        """Admit and run the request, and yield the text of its answer.

        The iterator ends only after the engine's end marker.

        Raises:
            LaburnumpitchError: If the request is refused or fails.
        """
        is_suspect = self.services.quarantine_client.check_suspect(self.fingerprint)
        await self.services.quota_client.acquire_token(self.organisation)
        admission_controller = self.services.get_admission_controller(self.model.pool)
        cost = get_queue_cost(self.request)
        await admission_controller.acquire(
            self.organisation, self.organisation_section.weight, cost, self.deadline_s
        )
        has_completed = False
        try:
            # The lease may have expired while the request was queued, and the
            # configuration may have changed; new work needs the current ones.
            self.services.session.require_lease()
            self.selector.refresh_model()
            must_run_alone = await self.services.inflight_limiter.acquire(
                self.fingerprint, self.request_id, self.deadline_s
            )
            self.machine.fire("admit")
            self.services.metrics.count("request.accepted")
            async for text in self.run_with_retries(is_suspect or must_run_alone):
                yield text
            has_completed = True
        finally:
            admission_controller.release(self.organisation)
            self.services.run_in_background(
                self.services.inflight_limiter.release(
                    self.fingerprint, self.request_id, has_completed
                )
            )

    async def run_with_retries(self, is_suspect: bool) -> AsyncIterator[str]:
        """Run attempts until one completes."""
        budget = self.services.get_retry_budget(self.model.pool)
        while True:
            self.stats.attempts += 1
            attempt = f"{self.request_id}.{self.stats.attempts}"
            try:
                if is_suspect:
                    async for text in self.run_trial(attempt):
                        yield text
                else:
                    async for text in self.run_attempt(attempt):
                        yield text
                budget.record_success()
                return
            except TargetError as error:
                self.handle_failed_attempt(error, budget)
                if error.has_died and not is_suspect:
                    is_suspect = await self.record_target_death(attempt)

    def handle_failed_attempt(self, error: TargetError, budget: RetryBudget) -> None:
        """Return the request to the state `admitted` if a retry is allowed.

        Raises:
            TargetError: The failure itself, if no retry is allowed.
        """
        self.log.info(
            "attempt_failed",
            code=error.code,
            detail=error.detail,
            attempt=self.stats.attempts,
            tokens=self.delivered_tokens,
        )
        is_unexecuted = isinstance(error, TargetRefusedError) or not error.sent
        may_retry = self.stats.attempts < MAX_ATTEMPTS and (
            is_unexecuted or budget.try_spend()
        )
        if not may_retry:
            self.machine.fire("fail")
            if self.delivered_tokens:
                raise StreamBrokenError(error.detail) from error
            raise error
        self.services.metrics.count("request.retried")
        if self.delivered_tokens:
            self.services.metrics.count("request.resumed")
        self.machine.fire("retarget")

    async def record_target_death(self, attempt: str) -> bool:
        """Commit a target's death before the request runs on another target.

        Returns:
            True, since the request is now a suspect.

        Raises:
            QuarantinedError: If the request has crashed too many targets.
        """
        assert self.last_target is not None
        deaths = await self.services.quarantine_client.record_death(
            self.fingerprint, attempt, self.last_target
        )
        if deaths >= MAX_TARGET_DEATHS:
            self.machine.fire("refuse")
            raise QuarantinedError(f"the request crashed {deaths} targets")
        return True

    async def run_trial(self, attempt: str) -> AsyncIterator[str]:
        """Run a suspect as the only copy, on a target without another suspect."""
        await self.services.inflight_limiter.acquire(
            self.fingerprint, self.request_id, self.deadline_s, is_trial=True
        )
        quarantine = self.services.quarantine_client
        plan, target, trial = await self.reserve_target(attempt)
        has_completed = False
        has_died = False
        try:
            async for text in self.run_on_target(attempt, plan, target):
                yield text
            has_completed = True
        except TargetError as error:
            has_died = error.has_died
            raise
        finally:
            if has_died:
                await self.record_target_death(attempt)
            else:
                self.services.run_in_background(
                    quarantine.end_trial(trial, has_completed)
                )

    async def reserve_target(self, attempt: str) -> tuple[Plan, TargetInfo, Trial]:
        """Reserve a live target; a dead one would count as crashed by the request."""
        quarantine = self.services.quarantine_client
        while True:
            plan, target = await self.choose_target()
            trial = Trial(self.fingerprint, attempt, target.target_id)
            if not await quarantine.begin_trial(trial, self.deadline_s):
                continue
            if await self.is_alive(target):
                return plan, target, trial
            self.services.tracker.record_failure(target)
            self.selector.failed_target_ids.add(target.target_id)
            await quarantine.end_trial(trial, is_cleared=False)

    async def run_attempt(self, attempt: str) -> AsyncIterator[str]:
        """Choose a target and run one attempt on it."""
        plan, target = await self.choose_target()
        async for text in self.run_on_target(attempt, plan, target):
            yield text

    async def run_on_target(
        self, attempt: str, plan: Plan, target: TargetInfo
    ) -> AsyncIterator[str]:
        """Run on one target and yield the text that the caller does not have yet."""
        tracker = self.services.tracker
        tracker.record_sent(target, attempt, plan.recomputed_tokens)
        tracker.update_queued_reads(plan.imports, 1)
        self.last_target = target
        self.machine.fire("dispatch")
        self.log.info(
            "dispatched",
            target=target.target_id,
            attempt=self.stats.attempts,
            reused=plan.reused_pieces,
            imports=len(plan.imports),
            predicted_ms=round(plan.predicted_first_token_s * 1000, 1),
        )
        has_output = False
        started_s = time.monotonic()
        try:
            async for item in self.generate(attempt, plan, target):
                if not has_output:
                    has_output = True
                    tracker.update_queued_reads(plan.imports, -1)
                    self.machine.fire("answer")
                if isinstance(item, TokenChunk):
                    yield self.accept_chunk(item)
                else:
                    self.accept_end(item, target, time.monotonic() - started_s)
                    self.report_used_blocks(plan)
        except TargetError as error:
            self.may_have_run = self.may_have_run or error.sent
            self.selector.failed_target_ids.add(target.target_id)
            await self.classify_failure(error, target)
            raise
        except (asyncio.CancelledError, GeneratorExit):
            self.services.run_in_background(self.cancel_generation(attempt, target))
            raise
        finally:
            if not has_output:
                tracker.update_queued_reads(plan.imports, -1)
            tracker.record_ended(target, attempt)

    def generate(
        self, attempt: str, plan: Plan, target: TargetInfo
    ) -> AsyncIterator[TokenChunk | RunEnd]:
        """Send the request to an engine and return an iterator over its answer."""
        engine = HttpEngine(self.services.http_clients.get(target.address))
        request = GenerateRequest(
            attempt,
            self.organisation,
            self.request.model,
            self.selector.weight_version,
            self.model.adapter,
            self.services.get_admission_controller(self.model.pool).get_engine_priority(
                self.organisation, self.organisation_section.priority
            ),
            self.request.prompt,
            self.selector.pieces.piece_chars,
            self.selector.pieces.names,
            list(plan.imports),
            self.request.max_tokens,
            self.delivered_tokens,
            plan.import_timeout_s,
        )
        timeout_s = max(1.0, self.deadline_s - time.monotonic())
        return engine.generate(request, timeout_s)

    def accept_chunk(self, chunk: TokenChunk) -> str:
        """Count the tokens of a chunk and return its text.

        Raises:
            MalformedAnswerError: If tokens are missing or repeated.
        """
        if chunk.offset != self.delivered_tokens:
            raise MalformedAnswerError(
                f"got token {chunk.offset}, expected {self.delivered_tokens}"
            )
        self.delivered_tokens += chunk.count
        return chunk.text

    def accept_end(self, end: RunEnd, target: TargetInfo, duration_s: float) -> None:
        """Check the end marker and record the figures of the completed attempt.

        Raises:
            MalformedAnswerError: If the token count differs from the tokens received.
        """
        if end.tokens != self.delivered_tokens:
            raise MalformedAnswerError(
                f"expected {end.tokens} tokens, got {self.delivered_tokens}"
            )
        self.machine.fire("complete")
        self.stats.tokens = end.tokens
        self.stats.recomputed_tokens = end.recomputed_tokens
        self.stats.reused_tokens = end.reused_tokens
        self.stats.imported_bytes = end.imported_bytes
        self.services.tracker.record_success(target, duration_s)
        self.services.tracker.record_link_samples(end.links)
        metrics = self.services.metrics
        metrics.count("context.recomputed", end.recomputed_tokens)
        metrics.count("context.reused", end.reused_tokens)
        metrics.count("context.imported", end.imported_bytes)

    def report_used_blocks(self, plan: Plan) -> None:
        """Report to the store owners which blocks were imported."""
        by_store: dict[str, list[str]] = {}
        for ref in plan.imports:
            by_store.setdefault(ref.store_id, []).append(ref.piece)
        for store_id, pieces in by_store.items():
            self.services.store_router.report_reads(store_id, pieces)

    async def classify_failure(self, error: TargetError, target: TargetInfo) -> None:
        """Determine whether the target died, and record its failure."""
        if isinstance(error, TargetRefusedError):
            return
        if error.has_died and error.sent:
            error.has_died = not await self.is_alive(target)
        self.services.tracker.record_failure(target)

    async def is_alive(self, target: TargetInfo) -> bool:
        """Whether the process that got the request still answers."""
        engine = HttpEngine(self.services.http_clients.get(target.address))
        try:
            state = await asyncio.wait_for(engine.get_state(), PROBE_TIMEOUT_S)
        except (LaburnumpitchError, asyncio.TimeoutError):
            return False
        return state.incarnation == target.incarnation

    async def cancel_generation(self, attempt: str, target: TargetInfo) -> None:
        """Cancel an attempt at its engine, as the caller has disconnected."""
        engine = HttpEngine(self.services.http_clients.get(target.address))
        try:
            await asyncio.wait_for(engine.cancel(attempt), CANCEL_TIMEOUT_S)
        except (LaburnumpitchError, asyncio.TimeoutError):
            self.log.info("cancel_failed", target=target.target_id)
