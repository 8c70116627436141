"""The run of one call of a plain service, at most once where that is needed."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from dataclasses import dataclass

from ..control.commands import (
    CLAIM_GRANTED,
    CLAIM_HELD,
    CLAIM_MISMATCH,
    CLAIM_SETTLED,
    Claim,
    ClaimResult,
    KeptAnswer,
    ReleaseClaim,
    SettleClaim,
)
from ..control.document import ServiceSection
from ..errors import (
    AnswerNotKeptError,
    ControlUnavailableError,
    DeadlineExceededError,
    IdempotencyKeyRequiredError,
    IdempotencyKeyReusedError,
    LaburnumpitchError,
    NoTargetError,
    OutcomeUnknownError,
    RequestInProgressError,
    TargetError,
)
from ..logging import get_logger
from ..membership.messages import TargetInfo
from ..statechart import StateChart, StateMachine
from ..transport.http_client import HOP_HEADERS, MAX_IDLE_S
from ..transport.http_server import Headers
from .services import EntryServices

MAX_KEPT_ANSWER_BYTES = 64 * 1024
"""Size up to which an answer is kept for resends."""

CLAIM_TIMEOUT_S = 10.0
"""Time to commit a claim before the request is refused."""

SETTLE_TIMEOUT_S = 60.0
"""Time to commit how a claimed request ended."""

RESEND_WAIT_S = 10.0
"""Time for which a resend waits for the first request's answer."""

RESEND_POLL_S = 0.1
"""Interval of looking whether the first request has ended."""

NO_TARGET_PAUSE_S = 0.1
"""Pause before looking again for a target that takes work."""

MAX_ATTEMPTS = 4
"""Attempts for one call over all targets."""

PASSED_REQUEST_HEADERS = frozenset(
    ("accept", "accept-language", "content-type", "idempotency-key", "user-agent")
)
"""Headers of a caller that a service gets."""

HIDDEN_ANSWER_HEADERS = HOP_HEADERS | {"date", "server", "set-cookie"}
"""Headers of a service that a caller does not get."""


@dataclass(frozen=True)
class ServiceCall:
    """A caller's call of a service."""

    service: str
    method: str
    path: str
    """Path and query below the service."""
    headers: Headers
    body: bytes
    idempotency_key: str

    def get_digest(self) -> str:
        """Return what must be equal under one Idempotency-Key."""
        head = f"{self.service}\x00{self.method}\x00{self.path}\x00".encode()
        return hashlib.sha256(head + self.body).hexdigest()


class ServiceRun:
    """One call of a plain service.

    Args:
        services: What the node's requests share.
        chart: Lifecycle of requests.
        request_id: Identifier of the request.
        organisation: Name of the caller's organisation.
        section: The service's section.
        call: The call.
        is_idempotent: Whether it may be repeated.
        deadline_s: Monotonic time by which it must be sent.
    """

    def __init__(
        self,
        services: EntryServices,
        chart: StateChart,
        request_id: str,
        organisation: str,
        section: ServiceSection,
        call: ServiceCall,
        is_idempotent: bool,
        deadline_s: float,
    ) -> None:
        self.services = services
        self.machine = StateMachine(chart)
        self.request_id = request_id
        self.organisation = organisation
        self.section = section
        self.call = call
        self.is_idempotent = is_idempotent
        self.deadline_s = deadline_s
        self.failed_targets: set[str] = set()
        self.has_sent = False
        """Whether any target may have acted on the call."""
        self.log = get_logger().bind(request=request_id, organisation=organisation)

    async def run(self) -> KeptAnswer:
        """Run the call and return the service's answer.

        Raises:
            LaburnumpitchError: If the call is refused, fails, or its outcome is
                unknown.
        """
        if not self.is_idempotent and not self.call.idempotency_key:
            raise IdempotencyKeyRequiredError("send an Idempotency-Key header")
        await self.services.quota.take(self.organisation)
        admission = self.services.get_admission(self.section.pool)
        await admission.enter(self.organisation, 1.0, 1.0, self.deadline_s)
        try:
            self.services.session.require_lease()
            self.machine.fire("admit")
            self.services.metrics.count("request.accepted")
            if self.is_idempotent:
                return await self.run_idempotent()
            # The call goes on when its caller goes away, so that a resend gets
            # its answer.
            work = self.services.spawn(self.run_claimed())
            return await asyncio.shield(work)
        finally:
            admission.leave(self.organisation)

    # Calls that may be repeated.

    async def run_idempotent(self) -> KeptAnswer:
        """Send the call until it has an answer or no attempt is left."""
        budget = self.services.get_budget(self.section.pool)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            target = await self.choose()
            self.machine.fire("dispatch")
            try:
                answer = await self.send(target)
                budget.record_success()
                self.machine.fire("answer")
                self.machine.fire("complete")
                return answer
            except TargetError as error:
                if attempt == MAX_ATTEMPTS or (error.sent and not budget.try_spend()):
                    self.machine.fire("fail")
                    raise
                self.services.metrics.count("request.retried")
                self.machine.fire("retarget")
        raise AssertionError("unreachable")

    # Calls that run at most once.

    async def run_claimed(self) -> KeptAnswer:
        """Claim the call, then send it or answer with what is known of it."""
        result = await self.claim_or_wait()
        if result.status == CLAIM_MISMATCH:
            self.machine.fire("refuse")
            raise IdempotencyKeyReusedError("the key was used for another request")
        self.machine.fire("claim")
        if result.status != CLAIM_GRANTED:
            return self.replay(result)
        try:
            answer = await self.send_once()
        except OutcomeUnknownError:
            self.machine.fire("lose")
            self.services.metrics.count("request.unknown")
            self.services.spawn(self.settle(is_known=False, answer=None))
            raise
        except LaburnumpitchError:
            # Nothing was sent, so another request may have the key. A run that
            # is cancelled keeps its claim, which becomes unknown.
            self.services.spawn(self.release())
            raise
        self.machine.fire("answer")
        self.machine.fire("complete")
        await self.settle_before_answer(answer)
        return answer

    async def claim_or_wait(self) -> ClaimResult:
        """Claim the call, waiting while another request holds the claim.

        Raises:
            RequestInProgressError: If it is held for too long.
        """
        wait_until_s = time.monotonic() + RESEND_WAIT_S
        while True:
            result = await self.claim()
            if result.status != CLAIM_HELD:
                return result
            if time.monotonic() >= wait_until_s:
                raise RequestInProgressError("it is still running", retry_after_s=1)
            await asyncio.sleep(RESEND_POLL_S)

    async def claim(self) -> ClaimResult:
        """Commit the claim before the first byte is sent.

        Raises:
            ControlUnavailableError: If it could not be committed in time. The
                call is then not run, whatever becomes of the claim.
        """
        node = self.services.session.node
        command = Claim(
            self.organisation,
            self.call.idempotency_key,
            self.call.get_digest(),
            self.request_id,
            node.node_id,
            node.incarnation,
        )
        try:
            return await self.services.control.propose(command, CLAIM_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.services.spawn(self.release())
            refusal = ControlUnavailableError(f"no claim: {error.detail}")
            refusal.run = "not_run"
            refusal.retry_after_s = 1
            raise refusal from error

    def replay(self, result: ClaimResult) -> KeptAnswer:
        """Answer a resend with the first request's outcome.

        Raises:
            OutcomeUnknownError: If the first request may have run.
            AnswerNotKeptError: If its answer was too large to keep.
        """
        if result.status != CLAIM_SETTLED:
            self.machine.fire("lose")
            raise OutcomeUnknownError("it was sent once and may have run")
        self.machine.fire("replay")
        if result.answer is None:
            raise AnswerNotKeptError("it ran, but its answer was too large to keep")
        self.log.info("answer_replayed")
        return result.answer

    async def send_once(self) -> KeptAnswer:
        """Send the call; go to another target only if nothing was written.

        Raises:
            OutcomeUnknownError: If the call may have run.
            LaburnumpitchError: If it certainly has not.
        """
        for _ in range(MAX_ATTEMPTS):
            target = await self.choose()
            self.machine.fire("dispatch")
            try:
                return await self.send(target)
            except TargetError as error:
                if error.sent:
                    raise OutcomeUnknownError(error.detail) from error
                self.machine.fire("reclaim")
        raise NoTargetError("no target could be reached", retry_after_s=1)

    async def settle_before_answer(self, answer: KeptAnswer) -> None:
        """Keep the answer for resends; a caller's answer does not wait for long."""
        is_kept = len(answer.body) <= MAX_KEPT_ANSWER_BYTES
        work = self.services.spawn(
            self.settle(is_known=True, answer=answer if is_kept else None)
        )
        await asyncio.wait({work}, timeout=CLAIM_TIMEOUT_S)

    async def settle(self, is_known: bool, answer: KeptAnswer | None) -> None:
        """Commit how the call ended."""
        command = SettleClaim(
            self.organisation,
            self.call.idempotency_key,
            self.request_id,
            is_known,
            answer,
        )
        await self.commit_outcome(command)

    async def release(self) -> None:
        """Give the claim up; the call was certainly not sent."""
        command = ReleaseClaim(
            self.organisation, self.call.idempotency_key, self.request_id
        )
        await self.commit_outcome(command)

    async def commit_outcome(self, command: SettleClaim | ReleaseClaim) -> None:
        """Commit a command until it succeeds or the time is over."""
        try:
            await self.services.control.propose(command, SETTLE_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.log.warning(
                "outcome_not_committed", command=type(command).__name__, code=error.code
            )

    # One target.

    async def choose(self) -> TargetInfo:
        """Choose the least loaded target, waiting for one if need be.

        Raises:
            NoTargetError: If none takes work before the deadline.
            DeadlineExceededError: If others failed before.
        """
        while True:
            target = self.find_target()
            if target is not None:
                return target
            if time.monotonic() >= self.deadline_s:
                if self.failed_targets:
                    raise DeadlineExceededError("no target for another attempt")
                raise NoTargetError("no target takes work", retry_after_s=1)
            await asyncio.sleep(NO_TARGET_PAUSE_S)

    def find_target(self) -> TargetInfo | None:
        """Return a target with the fewest requests of this node and others."""
        tracker = self.services.tracker
        pool = self.services.session.view.get_available_targets(self.section.pool)
        usable = [item for item in pool if tracker.is_open(item)]
        fresh = [item for item in usable if item.target_id not in self.failed_targets]
        ranked = []
        for target in fresh or usable:
            candidate = tracker.get_candidate(target, "")
            load = candidate.running + candidate.queued + candidate.unreported
            ranked.append((load / target.slots, random.random(), target))
        return min(ranked, key=lambda item: item[:2])[2] if ranked else None

    async def send(self, target: TargetInfo) -> KeptAnswer:
        """Send the call to one target.

        Raises:
            TargetError: If there is no whole answer.
        """
        tracker = self.services.tracker
        tracker.note_sent(target, self.request_id, 0)
        self.log.info("dispatched", target=target.target_id)
        started_s = time.monotonic()
        try:
            answer = await self.exchange(target)
        except TargetError as error:
            self.has_sent = self.has_sent or error.sent
            self.failed_targets.add(target.target_id)
            tracker.note_failure(target)
            self.log.info(
                "attempt_failed", code=error.code, detail=error.detail, sent=error.sent
            )
            raise
        finally:
            tracker.note_done(target, self.request_id)
        tracker.note_success(target, time.monotonic() - started_s)
        return answer

    async def exchange(self, target: TargetInfo) -> KeptAnswer:
        """Send the request and read the whole answer."""
        headers = [
            item for item in self.call.headers if item[0] in PASSED_REQUEST_HEADERS
        ]
        headers.append(("x-request-id", self.request_id))
        headers.append(("x-organisation", self.organisation))
        answer = await self.services.http.get(target.address).request(
            self.call.method,
            self.call.path,
            headers,
            self.call.body,
            first_byte_timeout_s=max(1.0, self.deadline_s - time.monotonic()),
            max_idle_s=MAX_IDLE_S if self.is_idempotent else 0.0,
        )
        body = await answer.read()
        passed = [
            item for item in answer.headers if item[0] not in HIDDEN_ANSWER_HEADERS
        ]
        return KeptAnswer(answer.status, passed, body)
