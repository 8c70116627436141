"""Assigns the placements of services for the whole fleet.

The leader assigns each service to one node, its coordinator.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

from ..errors import NotCoordinatorError
from ..fleet.messages import PlaceAnswer, PlaceCall, PlaceProgress, TargetRecord
from ..logging import get_logger
from ..policy.placement_ledger import PlacementLedger
from ..policy.probe_schedule import ProbeSchedule
from ..policy.target_sample import TargetSampler
from ..policy.target_selection import TargetCandidate, choose_target
from .cold_grants import ColdGrants
from .target_catalog import TargetCatalog

ASSIGNMENT_PREFIX = "places/"
"""Prefix of the keys of coordinators among the leader's assignments."""

SLOT_OVERCOMMIT = 1.2
"""Requests that a target may have, relative to its slots: some wait there, so that a
slot that becomes free has work at once."""

TOKEN_OVERCOMMIT = 1.1
"""Prompt tokens that an engine may have, relative to its capacity: pieces that several
requests share are held once by the engine, but counted for each request here."""

LOAD_LOG_INTERVAL_S = 5.0
"""Interval of the log lines with a service's load."""

RETRY_DELAY_S = (0.01, 0.08)
"""Bounds of the delay after which a node retries a call that got no placement."""

SHARED_BACKOFF_S = 0.5
"""Time for which a target in backoff at one node counts as possibly unreachable for all
nodes."""


def make_assignment_key(service: str) -> str:
    """Return the key of a service's coordinator among the leader's assignments."""
    return ASSIGNMENT_PREFIX + service


class Coordinator:
    """Assigns the placements of the services whose coordinator is this node.

    A new coordinator starts with an empty ledger, which fills within the duration of a
    request. Two coordinators at once only balance the load less evenly.

    Args:
        catalog: The fleet's targets.
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
        self.ledgers: dict[str, PlacementLedger] = {}
        self.backoff_until_s: dict[str, float] = {}
        """Until when targets in backoff at some node count as possibly unreachable."""
        self.probe_schedule = ProbeSchedule()
        self.samplers: dict[str, TargetSampler] = {}
        """Choices of the targets that are compared, by service."""
        self.cold_grants = ColdGrants(catalog.cold, get_time_s)
        self.logged_s: dict[str, float] = {}
        """When the load was logged, by service."""
        self.log = get_logger()
        catalog.fleet_view.on_change.append(self.drop_outdated)

    def drop_outdated(self) -> None:
        """Drop the ledgers of services that are assigned to another node now.

        What is known of targets that are gone is dropped too.
        """
        records = self.catalog.fleet_view.targets.get_records()
        target_ids = {record.target_id for record in records}
        self.probe_schedule.retain(target_ids)
        self.cold_grants.retain(target_ids)
        for service in self.catalog.cold.list_limited_services():
            self.cold_grants.record_assignment(service, self.is_assigned(service))
        for target_id in set(self.backoff_until_s) - target_ids:
            del self.backoff_until_s[target_id]
        for service in list(self.ledgers):
            if not self.is_assigned(service):
                del self.ledgers[service]
                self.samplers.pop(service, None)
                self.log.info("coordinator_stopped", service=service)

    def is_assigned(self, service: str) -> bool:
        """Whether the leader assigns a service to this node."""
        fleet_view = self.catalog.fleet_view
        return (
            fleet_view.assignments.get(make_assignment_key(service))
            == fleet_view.node.host
        )

    def get_ledger(self, service: str) -> PlacementLedger:
        """Return the ledger of a service, created on first use.

        Raises:
            NotCoordinatorError: If this node is not its coordinator.
        """
        ledger = self.ledgers.get(service)
        if ledger is None:
            if not self.is_assigned(service):
                raise NotCoordinatorError(service)
            ledger = self.ledgers[service] = PlacementLedger()
            term = self.catalog.fleet_view.term
            self.log.info("coordinator_started", service=service, term=term)
        return ledger

    async def on_place_call(self, call: PlaceCall) -> PlaceAnswer:
        """Assign a placement, or return the delay before a retry.

        Raises:
            NotCoordinatorError: If this node is not the service's coordinator.
        """
        ledger = self.get_ledger(call.service)
        now_s = self.get_time_s()
        expired = ledger.expire(now_s)
        if expired:
            self.log.info("places_expired", service=call.service, count=expired)
        for target_id in call.suspects:
            self.backoff_until_s[target_id] = now_s + SHARED_BACKOFF_S
        self.catalog.cold.apply_news(call.service, call.cold)
        targets, open_candidates, are_others_full = self.find_candidates(ledger, call)
        candidates = self.probe_schedule.select(open_candidates, are_others_full, now_s)
        tie_breaks = [self.random.random() for _ in candidates]
        # The node count is 1: only the coordinator assigns these targets.
        chosen = choose_target(
            candidates, call.key, tie_breaks, 1, ledger.prefill_rate.tokens_per_s
        )
        if chosen is None:
            return PlaceAnswer("", 0, self.choose_retry_delay_s(ledger, targets, call))
        self.log_load(call.service, ledger, now_s)
        number = ledger.assign(chosen.target_id, call.prompt_tokens, now_s)
        target = next(t for t in targets if t.target_id == chosen.target_id)
        is_cold_grant = self.cold_grants.take(target)
        return PlaceAnswer(chosen.target_id, number, 0.0, is_cold_grant)

    def log_load(self, service: str, ledger: PlacementLedger, now_s: float) -> None:
        """Log a service's load, at intervals."""
        if now_s - self.logged_s.get(service, 0.0) < LOAD_LOG_INTERVAL_S:
            return
        self.logged_s[service] = now_s
        usage = ledger.usage_by_target.values()
        self.log.info(
            "coordinator_load",
            service=service,
            placements=len(ledger.entries),
            tokens=sum(u.tokens for u in usage),
            pending_prefill_tokens=sum(u.pending_prefill_tokens for u in usage),
            prefill_tokens_per_s=round(ledger.prefill_rate.tokens_per_s),
            targets=len(self.catalog.get_targets(service)),
        )

    def find_candidates(
        self, ledger: PlacementLedger, call: PlaceCall
    ) -> tuple[list[TargetRecord], Sequence[TargetCandidate], bool]:
        """Return the targets that are compared, and the result of `make_candidates`.

        In a large service these are a sample of the targets, or all of them if no
        sound target of the sample has capacity.
        """
        staying = self.catalog.get_staying_targets(
            call.service, call.build, call.allowed_regions
        )
        sampler = self.samplers.setdefault(call.service, TargetSampler(self.random))
        sample = sampler.choose([t.target_id for t in staying], call.key)
        if sample is not None:
            sampled = [target for target in staying if target.target_id in sample]
            targets = self.select_eligible(sampled, call)
            candidates, are_others_full = self.make_candidates(ledger, targets, call)
            if any(not c.is_possibly_unreachable for c in candidates):
                return targets, candidates, are_others_full
        targets = self.select_eligible(staying, call)
        return targets, *self.make_candidates(ledger, targets, call)

    def list_targets(self, call: PlaceCall) -> list[TargetRecord]:
        """Return the targets that can serve a request, regardless of their load."""
        staying = self.catalog.get_staying_targets(
            call.service, call.build, call.allowed_regions
        )
        return self.select_eligible(staying, call)

    def select_eligible(
        self, targets: list[TargetRecord], call: PlaceCall
    ) -> list[TargetRecord]:
        """Return the targets that can serve a request, regardless of their load."""
        excluded_ids = {*call.excluded, *call.suspects}
        return [
            target
            for target in targets
            if target.target_id not in excluded_ids
            and self.catalog.is_eligible(target, call)
        ]

    def make_candidates(
        self, ledger: PlacementLedger, targets: list[TargetRecord], call: PlaceCall
    ) -> tuple[Sequence[TargetCandidate], bool]:
        """Return the targets that have capacity, as candidates for the policy.

        Returns:
            The candidates, and whether reachable targets without capacity exist.
        """
        now_s = self.get_time_s()
        store = self.catalog.find_session_store(call)
        candidates = []
        are_others_full = False
        for target in targets:
            load = ledger.get_usage(target.target_id)
            candidate = self.catalog.make_candidate(
                target,
                call,
                store,
                load.running,
                load.pending_prefill_tokens,
                ledger.prefill_rate.tokens_per_s,
            )
            if self.backoff_until_s.get(target.target_id, 0.0) > now_s:
                candidate = replace(candidate, is_possibly_unreachable=True)
            if self.has_capacity(ledger, target, call):
                candidates.append(candidate)
            else:
                are_others_full |= not candidate.is_possibly_unreachable
        return candidates, are_others_full

    def has_capacity(
        self, ledger: PlacementLedger, target: TargetRecord, call: PlaceCall
    ) -> bool:
        """Whether a target has capacity to start a request soon enough."""
        return not self.find_shortage(ledger, target, call)

    def find_shortage(
        self, ledger: PlacementLedger, target: TargetRecord, call: PlaceCall
    ) -> str:
        """Return what a target lacks to start a request soon enough, or empty."""
        if not self.cold_grants.may_place(target):
            return "cold"
        load = ledger.get_usage(target.target_id)
        if not load.running:
            return ""
        if load.running >= target.slots * SLOT_OVERCOMMIT:
            return "full: slots"
        engine = self.catalog.get_engine_spec(target.service)
        if engine is None:
            return ""
        max_tokens = engine.context_tokens * TOKEN_OVERCOMMIT
        if load.tokens + call.prompt_tokens > max_tokens:
            return "full: tokens"
        is_late = ledger.get_backlog_s(target.target_id) > call.max_backlog_s
        return "full: prefill backlog" if is_late else ""

    def choose_retry_delay_s(
        self, ledger: PlacementLedger, targets: list[TargetRecord], call: PlaceCall
    ) -> float:
        """Return the time until a target's backlog falls to the bound, with jitter.

        Cold targets are left out: the next grant goes to one of many waiting requests.
        """
        min_s, max_s = RETRY_DELAY_S
        warm = [t for t in targets if not self.catalog.cold.is_cold(t)]
        excess_s = min(
            (ledger.get_backlog_s(t.target_id) - call.max_backlog_s for t in warm),
            default=max_s,
        )
        return min(max_s, max(min_s, excess_s)) * self.random.uniform(0.7, 1.3)

    async def on_place_progress(self, notice: PlaceProgress) -> None:
        """Handle another node's report on the progress of its placements."""
        self.apply_progress(notice)

    def apply_progress(self, notice: PlaceProgress) -> None:
        """Record the prefills and release the placements that have ended."""
        ledger = self.ledgers.get(notice.service)
        if ledger is None:
            return
        now_s = self.get_time_s()
        for number in notice.read:
            ledger.record_prefill(number, now_s)
        for number in notice.ended:
            ledger.release(number)
