"""The run of one completion: admission, choice, streaming, retries, resumption."""

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
from .engine_choice import EngineChoice
from .services import EntryServices
from .suspects import Trial

MAX_ATTEMPTS = 6
"""Attempts for one request over all targets."""

PROBE_TIMEOUT_S = 0.5
"""Time for a target to show that it is still alive."""

CANCEL_TIMEOUT_S = 2.0
"""Time to tell an engine that its caller has gone."""


def get_queue_cost(request: CompletionRequest) -> float:
    """Return a request's size in fair queueing."""
    return 1.0 + count_tokens(request.prompt) / 1000 + request.max_tokens / 100


@dataclass
class RunStats:
    """What a run used."""

    tokens: int = 0
    recomputed_tokens: int = 0
    reused_tokens: int = 0
    imported_bytes: int = 0
    attempts: int = 0


class ModelRun:
    """One completion, whatever targets it takes.

    Args:
        services: What the node's requests share.
        chart: Lifecycle of requests.
        request_id: Identifier of the request.
        organisation: Name of the caller's organisation.
        section: The organisation's section.
        model: The model's section, as in force when the request came.
        request: The caller's request.
        fingerprint: Identifies equal requests of the organisation.
        deadline_s: Monotonic time by which the first token must come.
    """

    def __init__(
        self,
        services: EntryServices,
        chart: StateChart,
        request_id: str,
        organisation: str,
        section: OrganisationSection,
        model: ModelSection,
        request: CompletionRequest,
        fingerprint: str,
        deadline_s: float,
    ) -> None:
        self.services = services
        self.machine = StateMachine(chart)
        self.request_id = request_id
        self.organisation = organisation
        self.section = section
        self.request = request
        self.fingerprint = fingerprint
        self.deadline_s = deadline_s
        self.stats = RunStats()
        self.sent_tokens = 0
        """Tokens that the caller has."""
        self.choice = EngineChoice(services, organisation, section, model, request)
        self.latest_target: TargetInfo | None = None
        self.has_sent = False
        """Whether any target may have acted on the request."""
        self.log = get_logger().bind(request=request_id, organisation=organisation)

    @property
    def model(self) -> ModelSection:
        """The model's section under which the request runs."""
        return self.choice.model

    async def choose(self) -> tuple[Plan, TargetInfo]:
        """Choose a target, waiting for one if need be."""
        return await self.choice.choose(
            self.deadline_s,
            has_tried=self.stats.attempts > 1,
            is_begun=self.sent_tokens > 0,
        )

    async def stream(self) -> AsyncIterator[str]:
        """Admit and run the request, and yield its answer's text.

        Ends only after the engine's end marker.

        Raises:
            LaburnumpitchError: If the request is refused or fails.
        """
        is_suspect = self.services.suspects.check(self.fingerprint)
        await self.services.quota.take(self.organisation)
        admission = self.services.get_admission(self.model.pool)
        cost = get_queue_cost(self.request)
        await admission.enter(
            self.organisation, self.section.weight, cost, self.deadline_s
        )
        is_proven = False
        try:
            # The lease may have run out in the queue, and the document may have
            # changed; only a request sent under the current one is new work.
            self.services.session.require_lease()
            self.choice.refresh_model()
            is_doubtful = await self.services.flights.enter(
                self.fingerprint, self.request_id, self.deadline_s
            )
            self.machine.fire("admit")
            self.services.metrics.count("request.accepted")
            async for text in self.run_attempts(is_suspect or is_doubtful):
                yield text
            is_proven = True
        finally:
            admission.leave(self.organisation)
            self.services.spawn(
                self.services.flights.leave(
                    self.fingerprint, self.request_id, is_proven
                )
            )

    async def run_attempts(self, is_suspect: bool) -> AsyncIterator[str]:
        """Run attempts until one ends whole."""
        budget = self.services.get_budget(self.model.pool)
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
                self.note_failed_attempt(error, budget)
                if error.has_died and not is_suspect:
                    is_suspect = await self.handle_death(attempt)

    def note_failed_attempt(self, error: TargetError, budget: RetryBudget) -> None:
        """Go back to the state before the attempt, if another one is allowed.

        Raises:
            TargetError: The failure itself, if there must be no other attempt.
        """
        self.log.info(
            "attempt_failed",
            code=error.code,
            detail=error.detail,
            attempt=self.stats.attempts,
            tokens=self.sent_tokens,
        )
        is_free = isinstance(error, TargetRefusedError) or not error.sent
        may_retry = self.stats.attempts < MAX_ATTEMPTS and (
            is_free or budget.try_spend()
        )
        if not may_retry:
            self.machine.fire("fail")
            if self.sent_tokens:
                raise StreamBrokenError(error.detail) from error
            raise error
        self.services.metrics.count("request.retried")
        if self.sent_tokens:
            self.services.metrics.count("request.resumed")
        self.machine.fire("retarget")

    async def handle_death(self, attempt: str) -> bool:
        """Commit a target's death before the request runs anywhere again.

        Returns:
            True, since the request is a suspect now.

        Raises:
            QuarantinedError: If it crashed too many targets.
        """
        assert self.latest_target is not None
        deaths = await self.services.suspects.record_death(
            self.fingerprint, attempt, self.latest_target
        )
        if deaths >= MAX_TARGET_DEATHS:
            self.machine.fire("refuse")
            raise QuarantinedError(f"it crashed {deaths} targets")
        return True

    async def run_trial(self, attempt: str) -> AsyncIterator[str]:
        """Run a suspect as the only copy, on a target that runs no other suspect."""
        await self.services.flights.enter(
            self.fingerprint, self.request_id, self.deadline_s, is_trial=True
        )
        suspects = self.services.suspects
        plan, target, trial = await self.begin_trial(attempt)
        is_cleared = False
        has_died = False
        try:
            async for text in self.run_on_target(attempt, plan, target):
                yield text
            is_cleared = True
        except TargetError as error:
            has_died = error.has_died
            raise
        finally:
            if has_died:
                await self.handle_death(attempt)
            else:
                self.services.spawn(suspects.end_trial(trial, is_cleared))

    async def begin_trial(self, attempt: str) -> tuple[Plan, TargetInfo, Trial]:
        """Reserve a target that is alive, since one that is dead already would
        count as a death of this request.
        """
        suspects = self.services.suspects
        while True:
            plan, target = await self.choose()
            trial = Trial(self.fingerprint, attempt, target.target_id)
            if not await suspects.begin_trial(trial, self.deadline_s):
                continue
            if await self.is_alive(target):
                return plan, target, trial
            self.services.tracker.note_failure(target)
            self.choice.failed_targets.add(target.target_id)
            await suspects.end_trial(trial, is_cleared=False)

    async def run_attempt(self, attempt: str) -> AsyncIterator[str]:
        """Run once on the target chosen."""
        plan, target = await self.choose()
        async for text in self.run_on_target(attempt, plan, target):
            yield text

    # One target.

    async def run_on_target(
        self, attempt: str, plan: Plan, target: TargetInfo
    ) -> AsyncIterator[str]:
        """Run on one target and yield what the caller does not have yet."""
        tracker = self.services.tracker
        tracker.note_sent(target, attempt, plan.recomputed_tokens)
        tracker.note_reads(plan.imports, 1)
        self.latest_target = target
        self.machine.fire("dispatch")
        self.log.info(
            "dispatched",
            target=target.target_id,
            attempt=self.stats.attempts,
            reused=plan.reused_pieces,
            imports=len(plan.imports),
            predicted_ms=round(plan.predicted_first_token_s * 1000, 1),
        )
        has_read = False
        started_s = time.monotonic()
        try:
            async for item in self.generate(attempt, plan, target):
                if not has_read:
                    has_read = True
                    tracker.note_reads(plan.imports, -1)
                    self.machine.fire("answer")
                if isinstance(item, TokenChunk):
                    yield self.take_chunk(item)
                else:
                    self.take_end(item, target, time.monotonic() - started_s)
                    self.note_imports(plan)
        except TargetError as error:
            self.has_sent = self.has_sent or error.sent
            self.choice.failed_targets.add(target.target_id)
            await self.classify_failure(error, target)
            raise
        except (asyncio.CancelledError, GeneratorExit):
            self.services.spawn(self.cancel(attempt, target))
            raise
        finally:
            if not has_read:
                tracker.note_reads(plan.imports, -1)
            tracker.note_done(target, attempt)

    def generate(
        self, attempt: str, plan: Plan, target: TargetInfo
    ) -> AsyncIterator[TokenChunk | RunEnd]:
        """Send the request to an engine."""
        engine = HttpEngine(self.services.http.get(target.address))
        request = GenerateRequest(
            attempt,
            self.organisation,
            self.request.model,
            self.choice.weight_version,
            self.model.adapter,
            self.services.get_admission(self.model.pool).get_engine_priority(
                self.organisation, self.section.priority
            ),
            self.request.prompt,
            self.choice.pieces.piece_chars,
            self.choice.pieces.names,
            list(plan.imports),
            self.request.max_tokens,
            self.sent_tokens,
            plan.import_timeout_s,
        )
        timeout_s = max(1.0, self.deadline_s - time.monotonic())
        return engine.generate(request, timeout_s)

    def take_chunk(self, chunk: TokenChunk) -> str:
        """Count tokens and return their text.

        Raises:
            MalformedAnswerError: If tokens are missing or come twice.
        """
        if chunk.offset != self.sent_tokens:
            raise MalformedAnswerError(
                f"token {chunk.offset} came instead of {self.sent_tokens}"
            )
        self.sent_tokens += chunk.count
        return chunk.text

    def take_end(self, end: RunEnd, target: TargetInfo, duration_s: float) -> None:
        """Take the end marker of a whole answer.

        Raises:
            MalformedAnswerError: If the engine counts other tokens.
        """
        if end.tokens != self.sent_tokens:
            raise MalformedAnswerError(
                f"{end.tokens} tokens announced, {self.sent_tokens} came"
            )
        self.machine.fire("complete")
        self.stats.tokens = end.tokens
        self.stats.recomputed_tokens = end.recomputed_tokens
        self.stats.reused_tokens = end.reused_tokens
        self.stats.imported_bytes = end.imported_bytes
        self.services.tracker.note_success(target, duration_s)
        self.services.tracker.note_link_samples(end.links)
        metrics = self.services.metrics
        metrics.count("context.recomputed", end.recomputed_tokens)
        metrics.count("context.reused", end.reused_tokens)
        metrics.count("context.imported", end.imported_bytes)

    def note_imports(self, plan: Plan) -> None:
        """Tell the keepers of stores which blocks were of use."""
        by_store: dict[str, list[str]] = {}
        for ref in plan.imports:
            by_store.setdefault(ref.store_id, []).append(ref.piece)
        for store_id, pieces in by_store.items():
            self.services.stores.report_reads(store_id, pieces)

    async def classify_failure(self, error: TargetError, target: TargetInfo) -> None:
        """Find out whether a broken connection was the target's death."""
        if isinstance(error, TargetRefusedError):
            return
        if error.has_died and error.sent:
            error.has_died = not await self.is_alive(target)
        self.services.tracker.note_failure(target)

    async def is_alive(self, target: TargetInfo) -> bool:
        """Whether the target is still the process that got the request."""
        engine = HttpEngine(self.services.http.get(target.address))
        try:
            state = await asyncio.wait_for(engine.get_state(), PROBE_TIMEOUT_S)
        except (LaburnumpitchError, asyncio.TimeoutError):
            return False
        return state.incarnation == target.incarnation

    async def cancel(self, attempt: str, target: TargetInfo) -> None:
        """Tell an engine that its caller has gone."""
        engine = HttpEngine(self.services.http.get(target.address))
        try:
            await asyncio.wait_for(engine.cancel(attempt), CANCEL_TIMEOUT_S)
        except (LaburnumpitchError, asyncio.TimeoutError):
            self.log.info("cancel_failed", target=target.target_id)
