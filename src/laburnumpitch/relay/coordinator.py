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
from .target_catalog import TargetCatalog

ASSIGNMENT_PREFIX = "places/"

MAX_BACKLOG_OBJECTIVES = 0.5
"""Unread prompts that a target may have, in objectives; the rest of an objective is
for the way and for the spread around the mean."""

MAX_LATE_BACKLOG_OBJECTIVES = 0.15
"""The same for a request that is late already: it takes what is left over."""

SLOT_OVERCOMMIT = 1.2
"""Requests that a target may have over its slots, so that a free slot has work."""

TOKEN_OVERCOMMIT = 1.1
"""Prompt tokens that an engine may have over its room; parts that requests share count
once there, and several times here."""

RETRY_DELAY_S = (0.01, 0.08)
"""Bounds of the time after which a node asks again."""

SHARED_BACKOFF_S = 0.5
"""Time for which a target that failed one node counts as doubtful for all."""


def make_assignment_key(service: str) -> str:
    """Return the name of the duty to hand out a service's places."""
    return ASSIGNMENT_PREFIX + service


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
        catalog: TargetCatalog,
        get_time_s: Callable[[], float],
        random_source: Random,
    ) -> None:
        self.catalog = catalog
        self.get_time_s = get_time_s
        self.random = random_source
        self.ledgers: dict[str, PlaceLedger] = {}
        self.backoff_until_s: dict[str, float] = {}
        """Until when targets that failed some node count as doubtful."""
        self.log = get_logger()
        catalog.fleet_view.on_change.append(self.drop_unassigned_ledgers)

    def drop_unassigned_ledgers(self) -> None:
        """Drop ledgers of services that another node has now."""
        for service in list(self.ledgers):
            if not self.is_assigned(service):
                del self.ledgers[service]
                self.log.info("coordinator_stopped", service=service)

    def is_assigned(self, service: str) -> bool:
        """Whether the leader names this node for a service."""
        fleet_view = self.catalog.fleet_view
        return (
            fleet_view.keepers.get(make_assignment_key(service)) == fleet_view.node.host
        )

    def get_ledger(self, service: str) -> PlaceLedger:
        """Return the ledger of a service.

        Raises:
            NotCoordinatorError: If another node has it.
        """
        ledger = self.ledgers.get(service)
        if ledger is None:
            if not self.is_assigned(service):
                raise NotCoordinatorError(service)
            ledger = self.ledgers[service] = PlaceLedger()
            term = self.catalog.fleet_view.term
            self.log.info("coordinator_started", service=service, term=term)
        return ledger

    async def on_place_call(self, call: PlaceCall) -> PlaceAnswer:
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
            self.backoff_until_s[target_id] = now_s + SHARED_BACKOFF_S
        excluded_ids = {*call.excluded, *call.suspects}
        targets = [
            target
            for target in self.catalog.get_targets(call.service)
            if target.target_id not in excluded_ids
            and self.catalog.is_eligible(target, call)
        ]
        candidates = self.make_candidates(ledger, targets, call)
        ties = [self.random.random() for _ in candidates]
        chosen = choose_target(candidates, call.key, ties, 1, ledger.read_rate)
        if chosen is None:
            return PlaceAnswer("", 0, self.choose_retry_delay_s(ledger, targets, call))
        number = ledger.begin(chosen.target_id, call.prompt_tokens, now_s)
        return PlaceAnswer(chosen.target_id, number, 0.0)

    def make_candidates(
        self, ledger: PlaceLedger, targets: list[TargetRecord], call: PlaceCall
    ) -> list[Candidate]:
        """Return the targets that have room, as the policy sees them."""
        now_s = self.get_time_s()
        store = self.catalog.find_session_store(call)
        candidates = []
        for target in targets:
            if not self.has_capacity(ledger, target, call):
                continue
            load = ledger.get(target.target_id)
            candidate = self.catalog.make_candidate(
                target, call, store, load.running, load.unread_tokens
            )
            if self.backoff_until_s.get(target.target_id, 0.0) > now_s:
                candidate = replace(candidate, is_doubtful=True)
            candidates.append(candidate)
        return candidates

    def has_capacity(
        self, ledger: PlaceLedger, target: TargetRecord, call: PlaceCall
    ) -> bool:
        """Whether a target can begin with a request soon enough."""
        load = ledger.get(target.target_id)
        if not load.running:
            return True
        if load.running >= target.slots * SLOT_OVERCOMMIT:
            return False
        engine = self.catalog.get_engine_spec(target.service)
        if engine is None:
            return True
        max_tokens = engine.context_tokens * TOKEN_OVERCOMMIT
        if load.tokens + call.prompt_tokens > max_tokens:
            return False
        max_objectives = (
            MAX_LATE_BACKLOG_OBJECTIVES if call.is_late else MAX_BACKLOG_OBJECTIVES
        )
        backlog_s = ledger.get_backlog_s(target.target_id)
        return backlog_s <= call.objective_s * max_objectives

    def choose_retry_delay_s(
        self, ledger: PlaceLedger, targets: list[TargetRecord], call: PlaceCall
    ) -> float:
        """Return when a target may have room: as its backlog falls to the bound."""
        min_s, max_s = RETRY_DELAY_S
        max_objectives = (
            MAX_LATE_BACKLOG_OBJECTIVES if call.is_late else MAX_BACKLOG_OBJECTIVES
        )
        max_backlog_s = call.objective_s * max_objectives
        excess_s = min(
            (ledger.get_backlog_s(t.target_id) - max_backlog_s for t in targets),
            default=max_s,
        )
        return min(max_s, max(min_s, excess_s)) * self.random.uniform(0.7, 1.3)

    async def on_place_progress(self, notice: PlaceProgress) -> None:
        """Take another node's news of places."""
        self.apply_progress(notice)

    def apply_progress(self, notice: PlaceProgress) -> None:
        """Take note of places whose prompts were read, or that came free."""
        ledger = self.ledgers.get(notice.service)
        if ledger is None:
            return
        now_s = self.get_time_s()
        for number in notice.read:
            ledger.note_read(number, now_s)
        for number in notice.ended:
            ledger.end(number)
