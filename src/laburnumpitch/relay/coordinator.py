"""Hands out the places of a service to the whole fleet, on the node named for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from ..errors import NotCoordinatorError
from ..fleet.messages import PlaceAnswer, PlaceCall, PlaceProgress, TargetRecord
from ..logging import get_logger
from ..policy.place_ledger import PlaceLedger
from ..policy.placement import Candidate, choose_target
from .target_view import TargetView

DUTY_PREFIX = "places/"

BACKLOG_OBJECTIVES = 0.5
"""Unread prompts that a target may have, in objectives; the rest of an objective is
for the way and for the spread around the mean."""

LATE_BACKLOG_OBJECTIVES = 0.15
"""The same for a request that is late already: it takes what is left over."""

SLOTS_SHARE = 1.2
"""Requests that a target may have over its slots, so that a free slot has work."""

TOKENS_SHARE = 1.1
"""Prompt tokens that an engine may have over its room; parts that requests share count
once there, and several times here."""

WAIT_S = (0.01, 0.08)
"""Bounds of the time after which a node asks again."""

SUSPECT_S = 0.5
"""Time for which a target that failed one node counts as doubtful for all."""


def make_duty(service: str) -> str:
    """Return the name of the duty to hand out a service's places."""
    return DUTY_PREFIX + service


class Coordinator:
    """Hands out the places of services.

    A node that takes the duty over begins with an empty ledger, which fills within
    the time of a request; two coordinators at once cost balance, nothing else.

    Args:
        view: What this node believes of targets.
        get_time_s: Monotonic time.
        random_source: Breaks ties.
    """

    def __init__(
        self,
        view: TargetView,
        get_time_s: Callable[[], float],
        random_source: Random,
    ) -> None:
        self.view = view
        self.get_time_s = get_time_s
        self.random = random_source
        self.ledgers: dict[str, PlaceLedger] = {}
        self.suspects_s: dict[str, float] = {}
        """Until when targets that failed some node count as doubtful."""
        self.log = get_logger()
        view.follower.on_change.append(self.on_change)

    def on_change(self) -> None:
        """Drop ledgers of services that another node has now."""
        for service in list(self.ledgers):
            if not self.is_named(service):
                del self.ledgers[service]
                self.log.info("coordinator_stopped", service=service)

    def is_named(self, service: str) -> bool:
        """Whether the leader names this node for a service."""
        follower = self.view.follower
        return follower.assignments.get(make_duty(service)) == follower.node.host

    def get_ledger(self, service: str) -> PlaceLedger:
        """Return the ledger of a service.

        Raises:
            NotCoordinatorError: If another node has it.
        """
        ledger = self.ledgers.get(service)
        if ledger is None:
            if not self.is_named(service):
                raise NotCoordinatorError(service)
            ledger = self.ledgers[service] = PlaceLedger()
            term = self.view.follower.term
            self.log.info("coordinator_started", service=service, term=term)
        return ledger

    async def on_place(self, call: PlaceCall) -> PlaceAnswer:
        """Hand out a place, or tell when to ask again.

        Raises:
            NotCoordinatorError: If another node has the service.
        """
        ledger = self.get_ledger(call.service)
        now_s = self.get_time_s()
        expired = ledger.expire(now_s)
        if expired:
            self.log.info("places_expired", service=call.service, count=expired)
        for target_id in call.suspects:
            self.suspects_s[target_id] = now_s + SUSPECT_S
        barred = {*call.excluded, *call.suspects}
        targets = [
            target
            for target in self.view.get_targets(call.service)
            if target.target_id not in barred and self.view.is_usable(target, call)
        ]
        candidates = self.describe_free(ledger, targets, call)
        ties = [self.random.random() for _ in candidates]
        chosen = choose_target(candidates, call.key, ties, 1, ledger.read_rate)
        if chosen is None:
            return PlaceAnswer("", 0, self.choose_wait_s(ledger, targets, call))
        number = ledger.begin(chosen.target_id, call.prompt_tokens, now_s)
        return PlaceAnswer(chosen.target_id, number, 0.0)

    def describe_free(
        self, ledger: PlaceLedger, targets: list[TargetRecord], call: PlaceCall
    ) -> list[Candidate]:
        """Return the targets that have room, as the policy sees them."""
        now_s = self.get_time_s()
        store = self.view.find_store(call)
        candidates = []
        for target in targets:
            if not self.has_room(ledger, target, call):
                continue
            load = ledger.get(target.target_id)
            candidate = self.view.describe(
                target, call, store, load.running, load.unread_tokens
            )
            if self.suspects_s.get(target.target_id, 0.0) > now_s:
                candidate = replace(candidate, is_doubtful=True)
            candidates.append(candidate)
        return candidates

    def has_room(
        self, ledger: PlaceLedger, target: TargetRecord, call: PlaceCall
    ) -> bool:
        """Whether a target can begin with a request soon enough."""
        load = ledger.get(target.target_id)
        if not load.running:
            return True
        if load.running >= target.slots * SLOTS_SHARE:
            return False
        engine = self.view.get_engine(target.service)
        if engine is None:
            return True
        room = engine.context_tokens * TOKENS_SHARE
        if load.tokens + call.prompt_tokens > room:
            return False
        share = LATE_BACKLOG_OBJECTIVES if call.is_late else BACKLOG_OBJECTIVES
        backlog_s = ledger.get_backlog_s(target.target_id)
        return backlog_s <= call.objective_s * share

    def choose_wait_s(
        self, ledger: PlaceLedger, targets: list[TargetRecord], call: PlaceCall
    ) -> float:
        """Return when a target may have room: as its backlog falls to the bound."""
        least, most = WAIT_S
        share = LATE_BACKLOG_OBJECTIVES if call.is_late else BACKLOG_OBJECTIVES
        bound_s = call.objective_s * share
        excess_s = min(
            (ledger.get_backlog_s(t.target_id) - bound_s for t in targets), default=most
        )
        return min(most, max(least, excess_s)) * self.random.uniform(0.7, 1.3)

    async def on_progress(self, notice: PlaceProgress) -> None:
        """Take another node's news of places."""
        self.take_progress(notice)

    def take_progress(self, notice: PlaceProgress) -> None:
        """Take note of places whose prompts were read, or that came free."""
        ledger = self.ledgers.get(notice.service)
        if ledger is None:
            return
        now_s = self.get_time_s()
        for number in notice.read:
            ledger.note_read(number, now_s)
        for number in notice.ended:
            ledger.end(number)
