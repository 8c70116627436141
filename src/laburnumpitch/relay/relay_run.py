"""The run of one request: targets in turn until an answer is delivered."""

from __future__ import annotations

from ..errors import (
    DeadlineExceededError,
    MalformedAnswerError,
    NoTargetError,
    OverloadedError,
    TargetError,
    TargetRefusedError,
)
from ..fleet.messages import TargetRecord
from ..transport.http_client import HttpAnswer
from ..transport.http_server import Headers, Responder
from .configuration import STREAMING
from .event_stream import EventSplitter
from .patience import get_first_silence_s, get_later_silence_s
from .request import Admitted, AnswerFacts, KeptAnswer, Sending
from .services import RelayServices

CONNECT_TIMEOUT_S = 0.35
"""Time to connect to a target; a millisecond is usual, and a target that is cut
off does not answer at all."""

TRIAL_TIMEOUT_S = 0.1
"""Time to connect to a target that may be dark."""

MAX_IDLE_ONCE_S = 0.5
"""Longest idle time of a connection for a request that may run once; a target may
drop it as the request is written."""

MAX_IDLE_REPEATABLE_S = 10.0
"""Longest idle time of a connection for other requests."""

MAX_REJECTIONS = 3
"""Targets that may reject a request before it is refused."""

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that tell a client that its request has not run."""

SUCCESS = range(200, 300)
FIRST_FAILURE = 500


class RelayRun:
    """Relays one request.

    Args:
        services: What all runs share.
        admitted: The request.
        responder: Where the answer goes.
    """

    def __init__(
        self, services: RelayServices, admitted: Admitted, responder: Responder
    ) -> None:
        self.services = services
        self.admitted = admitted
        self.responder = responder
        self.route = admitted.route
        facts = admitted.facts
        self.started_s = admitted.request.read_at_s
        patience_s = min(facts.patience_s or self.route.timeout_s, self.route.timeout_s)
        self.deadline_s = self.started_s + patience_s
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.runs = 0
        """Targets that may have run the request."""
        self.rejections = 0
        self.kept: KeptAnswer | None = None
        self.splitter = EventSplitter()
        self.first_event_s: float | None = None
        self.last_target = ""

    @property
    def remaining_s(self) -> float:
        """Time until the request has to be answered."""
        return self.deadline_s - self.services.get_time_s()

    async def serve(self) -> None:
        """Send the request to targets in turn until it is answered.

        Raises:
            LaburnumpitchError: If it cannot be; nothing was delivered then, or
                the client sees a broken stream.
        """
        while True:
            try:
                target = await self.acquire()
            except (NoTargetError, OverloadedError) as error:
                if self.kept is not None:
                    await self.deliver_kept()
                    return
                if self.may_have_run:
                    raise TargetError("failed, and no further target") from error
                raise
            self.last_target = target.target_id
            try:
                await self.send(target)
                return
            except TargetRefusedError as error:
                self.note_rejected(target, error)
            except TargetError as error:
                self.note_failed(target, error)
            if self.kept is not None and not self.may_try_again():
                await self.deliver_kept()
                return

    async def acquire(self) -> TargetRecord:
        """Return a target with a place.

        Raises:
            NoTargetError: If the service has no target left.
            OverloadedError: If no place came free in time.
        """
        return await self.services.dispatcher.acquire(
            self.admitted, frozenset(self.excluded), self.deadline_s
        )

    # Sending.

    async def send(self, target: TargetRecord) -> None:
        """Send the request to one target and deliver its answer.

        Raises:
            TargetError: If it failed there.
        """
        services = self.services
        self.sent_s = sent_s = services.get_time_s()
        self.is_unread = True
        answer = None
        try:
            answer = await self.request(target)
            await self.take_answer(target, answer)
            ended_s = services.get_time_s()
            services.board.note_success(target, ended_s - sent_s)
            if self.first_event_s is not None:
                tokens = self.admitted.facts.output_tokens
                duration_s = ended_s - max(sent_s, self.first_event_s)
                services.board.note_generated(target, tokens, duration_s)
        finally:
            if answer is not None:
                answer.close()
            if self.is_unread:
                services.dispatcher.note_read(target, self.admitted, None)
            services.dispatcher.release(target, self.admitted)

    def choose_silence_s(self, silence_s: float) -> float:
        """Return how long a target may be silent: to the end if there is no other."""
        remaining_s = max(0.0, self.remaining_s)
        if self.is_repeat_allowed() and self.runs + 1 < self.route.max_targets:
            return min(remaining_s, silence_s)
        return remaining_s

    async def request(self, target: TargetRecord) -> HttpAnswer:
        """Write the request and return the answer's beginning.

        Raises:
            TargetError: If none came.
        """
        services, admitted = self.services, self.admitted
        request = admitted.request
        sending = await self.make_sending(target)
        headers = services.translator.make_headers(admitted, sending)
        is_doubtful = services.board.is_doubtful(target)
        max_idle_s = MAX_IDLE_ONCE_S
        if is_doubtful:
            # A new connection shows at once whether the target is there.
            max_idle_s = 0.0
        elif self.is_repeat_allowed():
            max_idle_s = MAX_IDLE_REPEATABLE_S
        path = f"{request.path}?{request.query}" if request.query else request.path
        return await services.clients.get(target.address).request(
            request.method,
            path,
            headers,
            request.body,
            first_byte_timeout_s=self.choose_silence_s(get_first_silence_s(self.route)),
            max_idle_s=max_idle_s,
            connect_timeout_s=TRIAL_TIMEOUT_S if is_doubtful else CONNECT_TIMEOUT_S,
            host=request.get_header("host"),
        )

    async def make_sending(self, target: TargetRecord) -> Sending:
        """Return what goes to a target beside the request itself.

        Raises:
            DeadlineExceededError: If no time is left.
        """
        if self.remaining_s <= 0:
            raise DeadlineExceededError("no time is left for a target")
        admitted = self.admitted
        dispatcher = self.services.dispatcher
        version = None
        context = None
        if self.route.has_context:
            seen = self.services.board.get(target.target_id)
            version = dispatcher.view.find_version(target, seen, admitted.facts.model)
            context = await self.services.planner.plan(admitted, target, version)
        organisation = admitted.organisation
        return Sending(
            target=target,
            remaining_s=self.remaining_s,
            organisation=organisation.name if organisation else "",
            drops_key=self.services.has_organisations(),
            rank=admitted.rank,
            weight_version=version,
            context=context,
            resume_after=self.splitter.last_event_id,
        )

    # Answers.

    async def take_answer(self, target: TargetRecord, answer: HttpAnswer) -> None:
        """Check an answer and deliver it.

        Raises:
            TargetError: If it is no answer that may be delivered.
        """
        services = self.services
        facts = services.translator.read_answer(answer.status, answer.headers)
        answer.gap_timeout_s = self.choose_silence_s(get_first_silence_s(self.route))
        if facts.is_not_run:
            await self.drain(answer)
            self.note_not_run(target, facts)
        if facts.request_id != self.admitted.facts.request_id:
            raise MalformedAnswerError("the answer is for another request")
        if facts.is_encoded:
            raise MalformedAnswerError("the body is encoded")
        if answer.status not in SUCCESS:
            await self.take_failure(answer)
            return
        if not facts.is_sealed:
            raise MalformedAnswerError("a success without a seal")
        if facts.weight_version is not None:
            model = self.admitted.facts.model
            services.board.note_version(target, model, facts.weight_version)
        if self.route.kind == STREAMING:
            await self.deliver_stream(target, answer)
        else:
            body = await answer.read()
            await self.deliver(answer.status, answer.headers, body)

    def note_not_run(self, target: TargetRecord, facts: AnswerFacts) -> None:
        """Note why a target did not run the request.

        Raises:
            TargetRefusedError: Always.
        """
        board = self.services.board
        if not facts.is_misdirected:
            board.note_full(target)
            raise TargetRefusedError("the target is full", sent=False)
        if facts.instance_id and facts.instance_id != target.target_id:
            board.note_replaced(target)
            raise TargetRefusedError("another target has the address", sent=False)
        model = self.admitted.facts.model
        named = self.services.dispatcher.follower.weight_versions.get(model)
        version = facts.weight_version or named
        if version is not None:
            board.note_version(target, model, version)
        board.note_full(target)
        raise TargetRefusedError("the target has other weights", sent=False)

    async def drain(self, answer: HttpAnswer) -> None:
        """Read a rejection to its end, so that its connection can be kept."""
        try:
            await answer.read()
        except TargetError as error:
            self.services.log.debug("rejection_cut", detail=error.detail)

    async def take_failure(self, answer: HttpAnswer) -> None:
        """Deliver a target's own failure, or keep it while another try is left.

        Raises:
            TargetError: If another target may do better.
        """
        body = await answer.read()
        if answer.status in PROMISES:
            raise TargetError("it says not run without saying so for certain")
        if answer.status >= FIRST_FAILURE and self.is_repeat_allowed():
            self.kept = KeptAnswer(answer.status, answer.headers, body)
            raise TargetError(f"the target answered {answer.status}")
        await self.deliver(answer.status, answer.headers, body)

    async def deliver(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer to the client."""
        await self.responder.send(
            status, self.services.make_answer_headers(headers), body
        )

    async def deliver_kept(self) -> None:
        """Send the failure that was kept."""
        await self.deliver(self.kept.status, self.kept.headers, self.kept.body)

    async def deliver_stream(self, target: TargetRecord, answer: HttpAnswer) -> None:
        """Send events to the client as they come.

        Raises:
            TargetError: If the stream breaks before its end.
        """
        is_resumable = self.route.is_resumable
        async for data in answer.iterate():
            self.note_event(target)
            part = self.splitter.feed(data) if is_resumable else data
            if part:
                if not self.responder.has_started:
                    headers = self.services.make_answer_headers(answer.headers)
                    await self.responder.start(answer.status, headers)
                await self.responder.write(part)
            answer.gap_timeout_s = self.choose_silence_s(
                get_later_silence_s(self.route)
            )
        if not self.responder.has_started:
            headers = self.services.make_answer_headers(answer.headers)
            await self.responder.start(answer.status, headers)
        if self.splitter.pending:
            await self.responder.write(self.splitter.pending)
        await self.responder.finish()

    def note_event(self, target: TargetRecord) -> None:
        """Note that a target sent a part of a stream."""
        services = self.services
        if self.is_unread:
            self.is_unread = False
            duration_s = services.get_time_s() - self.sent_s
            services.dispatcher.note_read(target, self.admitted, duration_s)
        if self.first_event_s is None:
            self.first_event_s = services.get_time_s()
            services.note_first_event(self.first_event_s - self.started_s)

    # Failures.

    def is_repeat_allowed(self) -> bool:
        """Whether the request may run once more, as far as its kind goes."""
        has_started = self.responder.has_started
        return self.route.may_repeat and (not has_started or self.route.is_resumable)

    def may_try_again(self) -> bool:
        """Whether another target may be tried after this one may have run it."""
        return (
            self.is_repeat_allowed()
            and self.runs < self.route.max_targets
            and self.remaining_s > 0
        )

    def note_rejected(self, target: TargetRecord, error: TargetRefusedError) -> None:
        """Go on after a target that certainly did not run the request.

        Raises:
            LaburnumpitchError: If no further target may be asked.
        """
        self.excluded.add(target.target_id)
        self.rejections += 1
        self.services.note_outcome("rejected", self.admitted, target, error)
        is_allowed = self.rejections <= MAX_REJECTIONS and self.services.take_repeat(
            self.admitted.service
        )
        if is_allowed:
            return
        if self.may_have_run or self.responder.has_started:
            raise TargetError("failed, then rejected")
        raise OverloadedError("rejected by targets")

    def note_failed(self, target: TargetRecord, error: TargetError) -> None:
        """Go on after a target that may have run the request.

        Raises:
            LaburnumpitchError: If no further target may be asked.
        """
        services = self.services
        is_late = self.remaining_s <= 0
        if not is_late or not error.sent:
            services.board.note_failure(target, error.is_unreachable)
            if error.is_unreachable:
                services.note_unreachable(target)
        services.note_outcome("failed", self.admitted, target, error)
        self.excluded.add(target.target_id)
        if not error.sent:
            self.rejections += 1
            if self.rejections <= MAX_REJECTIONS and not is_late:
                return
            if self.may_have_run:
                raise TargetError("failed, then unreachable")
            raise NoTargetError("targets cannot be reached")
        self.may_have_run = True
        self.runs += 1
        if error.has_died:
            services.note_death(self.admitted, target)
        self.splitter.restart()
        if self.may_try_again() and services.take_repeat(self.admitted.service):
            return
        if self.kept is None:
            raise error
