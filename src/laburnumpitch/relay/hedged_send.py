"""Sends a request to a second target while the first one is late; one answer wins.

Both have the request until one of them gives a good answer: the head of a success, or
of a stream the first event. No part of an answer goes to the client before that, so
that the events of two streams cannot be mixed.
"""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from .._tasks import TASK_FAILURES
from ..errors import (
    LaburnumpitchError,
    SendWithdrawnError,
    TargetError,
    TargetRefusedError,
)
from ..fleet.messages import TargetRecord
from ..policy.hedging import (
    ATTEMPTS,
    BUDGET,
    LOADED,
    NO_TARGET,
    RECHECK_FACTOR,
    SHARE,
    SUSPECT,
)
from ..policy.usual_latency import UsualDuration
from .answer_deadlines import AnswerDeadlines
from .configuration import STREAMING
from .repeated_sends import RepeatedSends
from .second_target import (
    has_free_slot,
    is_sound,
    is_suspect,
    list_avoided_ids,
    make_late_copy,
    make_outlook,
)
from .services import RelayServices
from .target_attempt import TargetAttempt

FIRST_WON = "first_won"
SECOND_WON = "second_won"
FAILED = "failed"
LEFT = "client_left"


class HedgedRun(Protocol):
    """The run whose request is sent, with what it has recorded of its targets."""

    excluded: set[str]
    build: str
    """Build that every target must have; empty for any."""

    async def open(self, attempt: TargetAttempt) -> None:
        """Send the request and check the head of the answer.

        Raises:
            TargetError: If there is no answer that may be delivered.
        """

    def is_retry_allowed(self) -> bool:
        """Whether the configuration in force allows another run."""

    def count_runs_left(self) -> int:
        """Return the number of further targets that may run the request."""

    def record_rejection(self, target: TargetRecord, error: TargetRefusedError) -> None:
        """Record a target that certainly did not run the request."""

    def record_failure(self, attempt: TargetAttempt, error: TargetError) -> None:
        """Record a target that failed."""

    def record_abandoned(self, attempt: TargetAttempt) -> None:
        """Record a target from which the request was taken back."""


class HedgedSend:
    """One request at its first target, and maybe at a second one.

    Args:
        services: Services that all runs share.
        repeated_sends: The node's policy and counts.
        run: The run of the request.
        first: The request at its first target, not yet sent.
    """

    def __init__(
        self,
        services: RelayServices,
        repeated_sends: RepeatedSends,
        run: HedgedRun,
        first: TargetAttempt,
    ) -> None:
        self.services = services
        self.repeated_sends = repeated_sends
        self.policy = repeated_sends.policy
        self.run = run
        self.first = first
        self.second: TargetAttempt | None = None
        self.last = first
        """The attempt whose answer is delivered, or whose failure ends the sending."""
        self.kept: TargetAttempt | None = None
        """An attempt with an error answer, while the other one may still succeed."""
        self.kind = repeated_sends.make_kind(first.admitted)
        self.first_task: asyncio.Task[None] | None = None
        self.second_task: asyncio.Task[None] | None = None
        self.running: set[asyncio.Task[None]] = set()
        self.check_age_s = 0.0
        """Age of the request at which a second send is considered next."""
        self.is_suppressed = False
        """Whether a second send was considered and not made."""
        self.threshold_s = math.inf
        """Age from which the request counted as late, at the last decision."""
        self.second_age_s = 0.0
        """Age of the request at which a second target was asked for."""
        self.usual: UsualDuration | None = None
        """What other targets usually took, when a second send was considered last."""
        self.outcome = LEFT

    @property
    def has_two(self) -> bool:
        """Whether a second target has the request, or is being looked for."""
        return len(self.running) + (self.kept is not None) > 1

    @property
    def age_s(self) -> float:
        """Time since the request was written to its first target."""
        written_s = self.first.sender.written_s
        return 0.0 if written_s is None else self.services.get_time_s() - written_s

    async def open(self) -> None:
        """Send the request until an attempt has a good answer, or the last one ends.

        That attempt is `last`; the other one is closed.

        Raises:
            LaburnumpitchError: If none has an answer that may be delivered.
        """
        number = next(self.repeated_sends.numbers)
        target_id = self.first.target.target_id
        now_s = self.services.get_time_s()
        self.policy.start(number, self.kind, target_id, now_s)
        self.usual = self.policy.find_usual(self.kind, target_id, now_s)
        self.check_age_s = math.inf
        if self.usual is not None:
            self.check_age_s = self.policy.get_threshold_s(self.kind, self.usual)
        self.first_task = self.start(self.open_attempt(self.first))
        try:
            while not await self.wait():
                pass
        finally:
            self.policy.end(number)
            self.end()

    def start(self, work) -> asyncio.Task[None]:
        """Start a task whose end is waited for."""
        task = asyncio.create_task(work)
        # A task that ends after the race has an error that concerns nobody.
        task.add_done_callback(lambda ended: ended.cancelled() or ended.exception())
        self.running.add(task)
        return task

    async def wait(self) -> bool:
        """Wait until a task ends or a second send is due; return whether all is over.

        Raises:
            LaburnumpitchError: If the last attempt has failed.
        """
        timeout_s = None
        if self.second_task is None and self.check_age_s < math.inf:
            timeout_s = max(0.0, self.check_age_s - self.age_s)
        done, _ = await asyncio.wait(
            self.running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            self.consider()
        for task in (self.first_task, self.second_task):
            if task in done and self.settle(task):
                return True
        return False

    async def open_attempt(self, attempt: TargetAttempt) -> None:
        """Wait for the good answer of an attempt, or for its error answer.

        Raises:
            TargetError: If there is none.
        """
        await self.run.open(attempt)
        if attempt.is_success and attempt.admitted.route.kind == STREAMING:
            await attempt.read_first_event()

    def consider(self) -> None:
        """Start a second send if the request is late and the policy allows it."""
        now_s, age_s = self.services.get_time_s(), self.age_s
        target_id = self.first.target.target_id
        self.usual = self.policy.find_usual(self.kind, target_id, now_s)
        if self.usual is None:
            self.check_age_s = math.inf
            return
        self.threshold_s = self.policy.get_threshold_s(self.kind, self.usual)
        if age_s < self.threshold_s:
            self.check_age_s = self.threshold_s
            return
        self.check_age_s = age_s * RECHECK_FACTOR
        admitted, build = self.first.admitted, self.run.build
        outlook = make_outlook(
            self.services,
            admitted,
            build,
            self.list_excluded(),
            self.run.count_runs_left(),
            self.first.deadlines.remaining_s,
        )
        objection = self.policy.find_objection(
            outlook, self.kind, target_id, self.usual, now_s
        )
        if objection:
            self.suppress(objection)
            return
        self.second_age_s = age_s
        # The first target is not left for a third one meanwhile.
        self.first.deadlines.release_reserved()
        self.second_task = self.start(self.send_second())

    def list_excluded(self) -> frozenset[str]:
        """Return the targets that must not get the second send."""
        avoided_ids = list_avoided_ids(
            self.services, self.first.admitted.service, self.run.build
        )
        return avoided_ids | self.run.excluded | {self.first.target.target_id}

    def suppress(self, reason: str) -> None:
        """Record why no second send was made, once for each request."""
        if not self.is_suppressed:
            self.is_suppressed = True
            self.repeated_sends.record_suppressed(reason)

    async def send_second(self) -> None:
        """Send the request to a second target, if one has room for it.

        Raises:
            TargetError: If the target fails or rejects the request.
        """
        services = self.services
        admitted = make_late_copy(self.first.admitted)
        excluded = self.list_excluded()
        target = await services.dispatcher.try_acquire(
            admitted, excluded, self.run.build
        )
        if target is None:
            self.suppress(LOADED)
            return
        deadlines = AnswerDeadlines(
            services,
            self.first.deadlines.deadline_s,
            self.run.count_runs_left,
            self.first.deadlines.get_build,
        )
        deadlines.start(target, admitted, set(excluded))
        second = TargetAttempt(services, target, admitted, deadlines)
        objection = self.find_objection(target)
        if objection:
            second.close()
            self.suppress(objection)
            return
        self.policy.record_send(services.get_time_s())
        self.second = second
        await self.open_attempt(second)

    def find_objection(self, target: TargetRecord) -> str:
        """Return the reason against a target that was acquired; empty if none.

        Time has passed since the decision. The retry is spent if there is none.
        """
        services = self.services
        if not self.run.is_retry_allowed():
            return ATTEMPTS
        if is_suspect(services, self.first.admitted):
            return SUSPECT
        if not is_sound(services, target):
            return NO_TARGET
        if not has_free_slot(services, target):
            return LOADED
        if not self.policy.has_share(services.get_time_s()):
            return SHARE
        is_allowed = services.retry_limiter.try_spend(target.service)
        return "" if is_allowed else BUDGET

    def settle(self, task: asyncio.Task[None]) -> bool:
        """Handle the end of an attempt; return whether the sending is over.

        Raises:
            LaburnumpitchError: If it was the last one and failed.
        """
        self.running.discard(task)
        attempt = self.first if task is self.first_task else self.second
        error = task.exception()
        if attempt is None:
            if error is not None:
                TASK_FAILURES.record("hedged_send", error)
            return False
        is_alone = self.second is None or not (self.running or self.kept)
        if error is not None:
            if is_alone:
                self.last, self.outcome = attempt, FAILED
                raise error
            self.record_failed(attempt, error)
            attempt.close()
        elif attempt.is_success:
            self.win(attempt)
            return True
        elif self.kept is None:
            self.kept = attempt
        if self.running and self.second is not None:
            return False
        self.last, self.outcome = self.kept, FAILED
        return True

    def win(self, attempt: TargetAttempt) -> None:
        """Record the attempt that has a good answer, and how long targets took."""
        self.last = attempt
        self.outcome = SECOND_WON if attempt is self.second else FIRST_WON
        now_s = self.services.get_time_s()
        for measured in {self.first, attempt}:
            is_waiting = not measured.is_closed and measured is not self.kept
            if is_waiting and measured.sender.written_s is not None:
                # The time of the first target is longer if the second one has won.
                duration_s = now_s - measured.sender.written_s
                target_id = measured.target.target_id
                self.policy.usual.record(self.kind, target_id, duration_s, now_s)

    def record_failed(self, attempt: TargetAttempt, error: BaseException) -> None:
        """Record the failure of an attempt while the other one goes on."""
        if attempt.sender.written_s is None or isinstance(error, TargetRefusedError):
            attempt.cancel_saves()
        if isinstance(error, TargetRefusedError):
            self.run.record_rejection(attempt.target, error)
        elif isinstance(error, TargetError) and not isinstance(
            error, SendWithdrawnError
        ):
            self.run.record_failure(attempt, error)
        else:
            self.run.record_abandoned(attempt)
            if not isinstance(error, LaburnumpitchError):
                TASK_FAILURES.record("hedged_send", error)

    def end(self) -> None:
        """Cancel what still runs, and close the attempts other than the last one."""
        for task in self.running:
            task.cancel()
        for attempt in (self.first, self.second):
            if attempt is None or attempt is self.last or attempt.is_closed:
                continue
            if attempt.sender.written_s is None:
                attempt.cancel_saves()
            self.run.record_abandoned(attempt)
            attempt.deadlines.release_reserved()
            attempt.close()
        if self.second is not None:
            self.record_outcome(self.second)

    def record_outcome(self, second: TargetAttempt) -> None:
        """Count and log a second send."""
        has_won = self.outcome == SECOND_WON
        is_sent = second.sender.written_s is not None
        if is_sent:
            self.repeated_sends.record_sent(has_won)
        if self.outcome in (FIRST_WON, SECOND_WON):
            self.policy.record_outcome(self.kind, has_won)
        now_s = self.services.get_time_s()
        self.services.log.info(
            "request_hedged",
            request=second.admitted.metadata.request_id,
            service=self.kind.service,
            route=self.kind.route,
            size_class=self.kind.size_class,
            threshold_ms=round(self.threshold_s * 1000),
            median_ms=round(self.usual.median_s * 1000),
            samples=self.usual.samples,
            newest_s=round(self.usual.newest_age_s, 2),
            age_ms=round(self.second_age_s * 1000),
            first=self.first.target.target_id,
            second=second.target.target_id,
            second_ms=round((now_s - second.sent_s) * 1000),
            sent=is_sent,
            outcome=self.outcome,
        )
