"""Runs one call of a plain service.

A call that is not idempotent runs at most once: before its first byte is sent, a
claim on its Idempotency-Key is committed. A resend gets the first call's answer.
"""

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
from ..transport.http_client import BODY_TIMEOUT_S, HOP_BY_HOP_HEADERS, MAX_IDLE_S
from ..transport.http_server import Headers
from .services import EntryServices

MAX_KEPT_ANSWER_BYTES = 64 * 1024
"""Maximum size of an answer that is kept for resends."""

CLAIM_TIMEOUT_S = 10.0
"""Timeout for committing a claim, after which the request is refused."""

SETTLE_TIMEOUT_S = 60.0
"""Timeout for committing the outcome of a claimed request."""

RESEND_WAIT_S = 10.0
"""Time that a resend waits for the first request's answer."""

RESEND_POLL_INTERVAL_S = 0.1
"""Interval of the checks whether the first request has ended."""

NO_TARGET_RETRY_INTERVAL_S = 0.1
"""Interval between attempts to find a target that accepts requests."""

MAX_ATTEMPTS = 4
"""Maximum number of attempts of one call, over all targets."""

FORWARDED_REQUEST_HEADERS = frozenset(
    ("accept", "accept-language", "content-type", "idempotency-key", "user-agent")
)
"""Headers of a caller's request that are forwarded to the service."""

DROPPED_ANSWER_HEADERS = HOP_BY_HOP_HEADERS | {"date", "server", "set-cookie"}
"""Headers of a service's answer that are not forwarded to the caller."""


@dataclass(frozen=True)
class ServiceCall:
    """A caller's request to a service."""

    service: str
    method: str
    path: str
    """Path and query after the service's name."""
    headers: Headers
    body: bytes
    idempotency_key: str

    def get_digest(self) -> str:
        """Return a digest that must be equal in all uses of one Idempotency-Key."""
        head = f"{self.service}\x00{self.method}\x00{self.path}\x00".encode()
        return hashlib.sha256(head + self.body).hexdigest()


class ServiceRun:
    """One call of a plain service, over all of its attempts.

    Args:
        services: Services that all requests of the node share.
        chart: State chart of a request's lifecycle.
        request_id: Identifier of the request.
        organisation: Name of the caller's organisation.
        service_section: The service's section of the configuration.
        call: The call.
        is_idempotent: Whether the call may be repeated.
        deadline_s: Monotonic time by which the call must be sent.
    """

    def __init__(
        self,
        services: EntryServices,
        chart: StateChart,
        request_id: str,
        organisation: str,
        service_section: ServiceSection,
        call: ServiceCall,
        is_idempotent: bool,
        deadline_s: float,
    ) -> None:
        self.services = services
        self.machine = StateMachine(chart)
        self.request_id = request_id
        self.organisation = organisation
        self.service_section = service_section
        self.call = call
        self.is_idempotent = is_idempotent
        self.deadline_s = deadline_s
        self.failed_target_ids: set[str] = set()
        self.may_have_run = False
        """Whether any target may have run the call."""
        self.log = get_logger().bind(request=request_id, organisation=organisation)

    async def run(self) -> KeptAnswer:
        """Run the call and return the service's answer.

        Raises:
            LaburnumpitchError: If it is refused, fails, or its outcome is unknown.
        """
        if not self.is_idempotent and not self.call.idempotency_key:
            raise IdempotencyKeyRequiredError("send an Idempotency-Key header")
        await self.services.quota_client.acquire_token(self.organisation)
        admission_controller = self.services.get_admission_controller(
            self.service_section.pool
        )
        await admission_controller.acquire(self.organisation, 1.0, 1.0, self.deadline_s)
        try:
            self.services.session.require_lease()
            self.machine.fire("admit")
            self.services.metrics.count("request.accepted")
            if self.is_idempotent:
                return await self.run_with_retries()
            # The call continues after its caller disconnects, so that a resend
            # gets its answer.
            task = self.services.run_in_background(self.run_at_most_once())
            return await asyncio.shield(task)
        finally:
            admission_controller.release(self.organisation)

    async def run_with_retries(self) -> KeptAnswer:
        """Send an idempotent call until it is answered or no retry is allowed."""
        budget = self.services.get_retry_budget(self.service_section.pool)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            target = await self.choose_target()
            self.machine.fire("dispatch")
            try:
                answer = await self.send_to_target(target)
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

    async def run_at_most_once(self) -> KeptAnswer:
        """Send the call if its claim is granted; otherwise replay its outcome."""
        result = await self.wait_for_claim()
        if result.status == CLAIM_MISMATCH:
            self.machine.fire("refuse")
            raise IdempotencyKeyReusedError("the key was used for another request")
        self.machine.fire("claim")
        if result.status != CLAIM_GRANTED:
            return self.replay_outcome(result)
        try:
            answer = await self.send_claimed_call()
        except OutcomeUnknownError:
            self.machine.fire("lose")
            self.services.metrics.count("request.unknown")
            self.services.run_in_background(
                self.settle_claim(is_known=False, answer=None)
            )
            raise
        except LaburnumpitchError:
            # Nothing was sent, so another request may use the key. A cancelled
            # run keeps its claim, whose outcome becomes unknown.
            self.services.run_in_background(self.release_claim())
            raise
        self.machine.fire("answer")
        self.machine.fire("complete")
        await self.settle_with_answer(answer)
        return answer

    async def wait_for_claim(self) -> ClaimResult:
        """Commit a claim, and wait while another request holds it.

        Raises:
            RequestInProgressError: If it is still held after `RESEND_WAIT_S`.
        """
        wait_until_s = time.monotonic() + RESEND_WAIT_S
        while True:
            result = await self.commit_claim()
            if result.status != CLAIM_HELD:
                return result
            if time.monotonic() >= wait_until_s:
                raise RequestInProgressError(
                    "the first request is still running", retry_after_s=1
                )
            await asyncio.sleep(RESEND_POLL_INTERVAL_S)

    async def commit_claim(self) -> ClaimResult:
        """Commit a claim on the call's Idempotency-Key.

        Raises:
            ControlUnavailableError: If the commit fails or times out. The call is
                not sent then, even if the claim is committed later.
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
            return await self.services.proposer.propose(command, CLAIM_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.services.run_in_background(self.release_claim())
            failure = ControlUnavailableError(f"claim not committed: {error.detail}")
            failure.run = "not_run"
            failure.retry_after_s = 1
            raise failure from error

    def replay_outcome(self, result: ClaimResult) -> KeptAnswer:
        """Return the first request's answer for a resend.

        Raises:
            OutcomeUnknownError: If it is unknown whether the first request ran.
            AnswerNotKeptError: If its answer was too large to keep.
        """
        if result.status != CLAIM_SETTLED:
            self.machine.fire("lose")
            raise OutcomeUnknownError("the call was sent once and may have run")
        self.machine.fire("replay")
        if result.answer is None:
            raise AnswerNotKeptError("the call ran; its answer was too large to keep")
        self.log.info("answer_replayed")
        return result.answer

    async def send_claimed_call(self) -> KeptAnswer:
        """Send a claimed call; try another target only if nothing was sent.

        Raises:
            OutcomeUnknownError: If the call may have run.
            LaburnumpitchError: If the call was not sent.
        """
        for _ in range(MAX_ATTEMPTS):
            target = await self.choose_target()
            self.machine.fire("dispatch")
            try:
                return await self.send_to_target(target)
            except TargetError as error:
                if error.sent:
                    raise OutcomeUnknownError(error.detail) from error
                self.machine.fire("reclaim")
        raise NoTargetError("no target could be reached", retry_after_s=1)

    async def settle_with_answer(self, answer: KeptAnswer) -> None:
        """Commit the answer for resends; wait `CLAIM_TIMEOUT_S` at most."""
        is_small_enough = len(answer.body) <= MAX_KEPT_ANSWER_BYTES
        task = self.services.run_in_background(
            self.settle_claim(is_known=True, answer=answer if is_small_enough else None)
        )
        await asyncio.wait({task}, timeout=CLAIM_TIMEOUT_S)

    async def settle_claim(self, is_known: bool, answer: KeptAnswer | None) -> None:
        """Commit the outcome of the claimed call."""
        command = SettleClaim(
            self.organisation,
            self.call.idempotency_key,
            self.request_id,
            is_known,
            answer,
        )
        await self.commit_outcome(command)

    async def release_claim(self) -> None:
        """Release the claim of a call that was not sent."""
        command = ReleaseClaim(
            self.organisation, self.call.idempotency_key, self.request_id
        )
        await self.commit_outcome(command)

    async def commit_outcome(self, command: SettleClaim | ReleaseClaim) -> None:
        """Commit a command, with retries up to `SETTLE_TIMEOUT_S`; log a failure."""
        try:
            await self.services.proposer.propose(command, SETTLE_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.log.warning(
                "outcome_not_committed", command=type(command).__name__, code=error.code
            )

    async def choose_target(self) -> TargetInfo:
        """Choose the least loaded target, and wait until there is one.

        Raises:
            NoTargetError: If no target accepts the call before the deadline.
            DeadlineExceededError: As above, if an earlier attempt failed.
        """
        while True:
            target = self.find_least_loaded_target()
            if target is not None:
                return target
            if time.monotonic() >= self.deadline_s:
                if self.failed_target_ids:
                    raise DeadlineExceededError("no target for another attempt")
                raise NoTargetError("no target accepts requests", retry_after_s=1)
            await asyncio.sleep(NO_TARGET_RETRY_INTERVAL_S)

    def find_least_loaded_target(self) -> TargetInfo | None:
        """Return the target with the fewest requests per slot, over all nodes.

        Targets on which an attempt failed come only if there are no others.
        """
        tracker = self.services.tracker
        pool_targets = self.services.session.view.get_available_targets(
            self.service_section.pool
        )
        available = [item for item in pool_targets if tracker.accepts_requests(item)]
        untried = [
            item for item in available if item.target_id not in self.failed_target_ids
        ]
        ranked = []
        for target in untried or available:
            candidate = tracker.get_candidate(target, "")
            load = candidate.running + candidate.queued + candidate.unreported
            ranked.append((load / target.slots, random.random(), target))
        return min(ranked, key=lambda item: item[:2])[2] if ranked else None

    async def send_to_target(self, target: TargetInfo) -> KeptAnswer:
        """Send the call to one target and record the result.

        Raises:
            TargetError: If there is no complete answer.
        """
        tracker = self.services.tracker
        tracker.record_sent(target, self.request_id, 0)
        self.log.info("dispatched", target=target.target_id)
        started_s = time.monotonic()
        try:
            answer = await self.forward(target)
        except TargetError as error:
            self.may_have_run = self.may_have_run or error.sent
            self.failed_target_ids.add(target.target_id)
            tracker.record_failure(target)
            self.log.info(
                "attempt_failed", code=error.code, detail=error.detail, sent=error.sent
            )
            raise
        finally:
            tracker.record_ended(target, self.request_id)
        tracker.record_success(target, time.monotonic() - started_s)
        return answer

    async def forward(self, target: TargetInfo) -> KeptAnswer:
        """Forward the call and read the complete answer."""
        allowed = FORWARDED_REQUEST_HEADERS
        headers = [item for item in self.call.headers if item[0] in allowed]
        headers.append(("x-request-id", self.request_id))
        headers.append(("x-organisation", self.organisation))
        timeout_s = max(1.0, self.deadline_s - time.monotonic())
        client = self.services.http_clients.get(target.address)
        answer = await client.request(
            self.call.method,
            self.call.path,
            headers,
            self.call.body,
            first_byte_timeout_s=timeout_s,
            total_timeout_s=timeout_s + BODY_TIMEOUT_S,
            max_idle_s=MAX_IDLE_S if self.is_idempotent else 0.0,
        )
        body = await answer.read()
        dropped = DROPPED_ANSWER_HEADERS
        answer_headers = [item for item in answer.headers if item[0] not in dropped]
        return KeptAnswer(answer.status, answer_headers, body)
