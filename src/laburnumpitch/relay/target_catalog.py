"""The fleet's targets by service, and their state as the placement policy needs it."""

from __future__ import annotations

from collections.abc import Callable, Container

from ..errors import TargetEvacuatedError
from ..fleet.fleet_view import FleetView
from ..fleet.messages import PlaceCall, TargetRecord
from ..fleet.store_owner import REMOTE_TRANSFER_FACTOR
from ..metrics import Metrics
from ..policy.evacuation import find_usable
from ..policy.leaving_targets import DRAIN_S
from ..policy.regions import AllowedRegions
from ..policy.target_selection import PREFILL_TOKENS_PER_S, TargetCandidate
from .cold_targets import ColdTargets
from .configuration import EngineSpec, StoreSpec
from .leaving_targets import LeavingTargets
from .region_rules import RegionRules
from .shedding_targets import SheddingTargets
from .store_choice import find_store
from .target_statistics import TargetStatistics, TargetStats

TargetCheck = Callable[[list[TargetRecord]], list[TargetRecord]]
"""Returns the targets of a service that may get new requests."""

SHORT_GENERATION_S = 0.5
"""Longest expected generation time of a short request; for twice this time before it
changes its weights, an engine gets short requests only."""

OUTDATED_WEIGHTS_SHARE = 0.9
"""Share of the time for outdated weights that is used: a request takes time to reach
the target and begin there."""


class TargetCatalog:
    """Finds targets and describes them to the placement policy.

    Args:
        fleet_view: This node's copy of the fleet's state.
        statistics: This node's statistics of each target.
        get_time_s: Monotonic time.
        outdated_weights_s: Time after a weight version is set in which requests may
            still begin on older weights, whether or not a newer one is set meanwhile.
        drain_s: Time for which a leaving target still serves.
        region_rules: Finds where requests may be served; without regions by default.
        cold: The cold targets; None for the default bounds.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        statistics: TargetStatistics,
        get_time_s: Callable[[], float],
        outdated_weights_s: float,
        drain_s: float = DRAIN_S,
        region_rules: RegionRules | None = None,
        cold: ColdTargets | None = None,
    ) -> None:
        self.fleet_view = fleet_view
        self.statistics = statistics
        self.get_time_s = get_time_s
        self.outdated_weights_s = outdated_weights_s
        self.leaving = LeavingTargets(get_time_s, drain_s)
        self.shedding = SheddingTargets(get_time_s)
        self.region_rules = region_rules or RegionRules(fleet_view, {}, Metrics())
        self.cold = cold or ColdTargets(fleet_view, statistics, get_time_s)
        self.by_service: dict[str, list[TargetRecord]] = {}

    def update(self) -> None:
        """Rebuild the lists of targets from the fleet's state."""
        self.by_service = {}
        records = self.fleet_view.targets.get_records()
        for record in records:
            if record.has_said_leaving:
                self.leaving.record(record)
            if not record.is_leaving:
                self.by_service.setdefault(record.service, []).append(record)
        self.statistics.retain({record.target_id for record in records})
        self.leaving.retain(records)
        self.shedding.drop_ended()
        self.cold.update()

    def get_targets(
        self, service: str, build: str = "", allowed_regions: AllowedRegions = None
    ) -> list[TargetRecord]:
        """Return the targets of a service that may get new requests of this node.

        These are the ones that stay and do not ask this node for no requests. If all
        of them do, these are the ones that may get a trial.

        Args:
            service: The service.
            build: Build that the targets must have; empty for any.
            allowed_regions: Regions that the targets may be in.
        """
        return self.shedding.select_usable(
            self.get_staying_targets(service, build, allowed_regions)
        )

    def has_only_shedding(
        self, service: str, build: str, allowed_regions: AllowedRegions
    ) -> bool:
        """Whether all allowed targets of a service ask this node for no requests."""
        key = (service, build, allowed_regions)
        return bool(self.get_staying_targets(*key)) and not self.get_targets(*key)

    def list_exclusions(self, call: PlaceCall, *, by_node: bool) -> dict[str, str]:
        """Return why targets of a service cannot get a request, by target.

        Args:
            call: The request.
            by_node: Whether the targets that ask this node for no requests count.
        """
        remaining = []
        reasons = {}
        for target in self.fleet_view.targets.get_records():
            if target.service != call.service:
                continue
            if target.is_leaving:
                reasons[target.target_id] = "leaving"
            else:
                remaining.append(target)
        for reason, select in self.get_checks(
            call.build, call.allowed_regions, by_node
        ):
            kept_ids = {target.target_id for target in select(remaining)}
            for target in remaining:
                if target.target_id not in kept_ids:
                    reasons[target.target_id] = reason
            remaining = [t for t in remaining if t.target_id in kept_ids]
        for target in remaining:
            if reason := self.find_exclusion(target, call):
                reasons[target.target_id] = reason
        return reasons

    def get_checks(
        self, build: str, allowed_regions: AllowedRegions, by_node: bool
    ) -> list[tuple[str, TargetCheck]]:
        """Return the checks of a service's targets in sequence, each with its reason.

        A check gets the targets that the ones before it have kept. Some keep a last
        resort, if they would keep no target.
        """
        checks: list[tuple[str, TargetCheck]] = []
        if build:
            checks.append(("build", lambda ts: [t for t in ts if t.build == build]))
        if allowed_regions is not None:
            select_allowed = self.region_rules.select_allowed
            checks.append(("region", lambda ts: select_allowed(ts, allowed_regions)))
        checks.append(("evacuated", self.select_in_service))
        checks.append(("leaving", self.leaving.select_usable))
        if by_node:
            checks.append(("shedding", self.shedding.select_usable))
        return checks

    def record_start(self, target: TargetRecord, tokens: int) -> None:
        """Count a request that is sent to a target."""
        self.shedding.record_start(target)
        self.statistics.record_start(target, tokens)

    def get_staying_targets(
        self, service: str, build: str, allowed_regions: AllowedRegions = None
    ) -> list[TargetRecord]:
        """Return the targets of a service that are neither leaving nor evacuated.

        If all of them said in answers that they are leaving, these are returned for a
        limited time.

        Args:
            service: The service.
            build: Build that the targets must have; empty for any.
            allowed_regions: Regions that the targets may be in.
        """
        targets = self.by_service.get(service, [])
        for _, select in self.get_checks(build, allowed_regions, by_node=False):
            targets = select(targets)
        return targets

    def select_in_service(self, targets: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets whose data centres are not evacuated."""
        evacuated = self.fleet_view.evacuated
        if not evacuated:
            return targets
        data_centres = [target.data_centre for target in targets]
        return [targets[index] for index in find_usable(data_centres, evacuated)]

    def check_in_service(self, target: TargetRecord) -> None:
        """Check, right before a request is sent, that a target is not evacuated.

        Raises:
            TargetEvacuatedError: If it is.
        """
        if not self.select_in_service([target]):
            raise TargetEvacuatedError(f"{target.data_centre} is evacuated")

    def list_avoided_ids(
        self, service: str, build: str, allowed_regions: AllowedRegions
    ) -> list[str]:
        """Return the allowed targets of a service that get no new requests here.

        Evacuated targets, which may be half of them, are not listed in each call of a
        coordinator: it knows them itself.
        """
        usable = self.get_targets(service, build, allowed_regions)
        usable_ids = {target.target_id for target in usable}
        targets = self.select_in_service(self.by_service.get(service, []))
        return [
            target.target_id
            for target in self.region_rules.select_allowed(targets, allowed_regions)
            if target.target_id not in usable_ids and build in ("", target.build)
        ]

    def has_other_target(
        self,
        service: str,
        build: str,
        excluded: Container[str],
        allowed_regions: AllowedRegions,
    ) -> bool:
        """Whether a service has a target that is not excluded.

        Args:
            service: The service.
            build: Build that the target must have; empty for any.
            excluded: Targets that are excluded.
            allowed_regions: Regions that the target may be in.
        """
        return any(
            target.target_id not in excluded
            for target in self.get_targets(service, build, allowed_regions)
        )

    def find_target(
        self,
        service: str,
        target_id: str,
        build: str = "",
        allowed_regions: AllowedRegions = None,
    ) -> TargetRecord | None:
        """Return a target that may get new requests, or None if it may not.

        Args:
            service: The target's service.
            target_id: The target.
            build: Build that the target must have; empty for any.
            allowed_regions: Regions that the target may be in.
        """
        for target in self.get_targets(service, build, allowed_regions):
            if target.target_id == target_id:
                return target
        return None

    def get_engine_spec(self, service: str) -> EngineSpec | None:
        """Return the capacity of a service's engines, or None if it has no engines."""
        configuration = self.fleet_view.configuration
        if configuration is None or service not in configuration.services_by_name:
            return None
        return configuration.services_by_name[service].engine

    def is_eligible(self, target: TargetRecord, call: PlaceCall) -> bool:
        """Whether a target can serve a request, regardless of its load."""
        return not self.find_exclusion(target, call)

    def find_exclusion(self, target: TargetRecord, call: PlaceCall) -> str:
        """Return why a target cannot serve a request at any load; empty if it can."""
        if not self.region_rules.allows(target.data_centre, call.allowed_regions):
            return "region"
        stats = self.statistics.get(target.target_id)
        if stats.is_replaced:
            return "replaced"
        if target.is_loading:
            # An engine rejects every request while it loads weights.
            return "weights: loading"
        if self.has_expired_weights(target, stats, call.model):
            return "weights: outdated"
        if not self.has_allowed_build(target, call):
            return "build"
        is_long = call.output_tokens * stats.token_s > SHORT_GENERATION_S
        return "weights: loading next" if target.is_retiring and is_long else ""

    def has_allowed_build(self, target: TargetRecord, call: PlaceCall) -> bool:
        """Whether a target's build may begin a stream, or go on with one."""
        if call.build:
            return target.build == call.build
        builds = self.fleet_view.builds
        if not call.is_resumable or builds is None:
            return True
        return builds.get(target.service, {}).get(target.build, False)

    def has_expired_weights(
        self, target: TargetRecord, stats: TargetStats, model: str
    ) -> bool:
        """Whether a target's weights are too old for a request to begin on them."""
        desired_version = self.fleet_view.weight_versions.get(model)
        if desired_version is None:
            return False
        version = self.find_weight_version(target, stats, model)
        if version is None or version >= desired_version:
            return False
        limit_s = self.outdated_weights_s * OUTDATED_WEIGHTS_SHARE
        return self.fleet_view.get_outdated_weights_s(model, version) > limit_s

    def find_weight_version(
        self, target: TargetRecord, stats: TargetStats, model: str
    ) -> int | None:
        """Return the newest known weight version of a target, or None."""
        announced = target.versions.get(model)
        observed = (stats.observed_versions or {}).get(model)
        if observed is not None:
            return max(announced or 0, observed[0])
        return announced

    def find_session_store(self, call: PlaceCall) -> StoreSpec | None:
        """Return the store of a request's session, or None if no node manages it."""
        configuration, rules = self.fleet_view.configuration, self.region_rules
        store = find_store(configuration, call.key, rules, call.allowed_regions)
        if store is None or store.address not in self.fleet_view.assignments:
            return None
        return store

    def estimate_transfer_s(
        self,
        target: TargetRecord,
        call: PlaceCall,
        store: StoreSpec | None,
        prefill_tokens_per_s: float,
    ) -> float:
        """Return the time to import a request's shared context, or to recompute it."""
        if not call.key:
            return 0.0
        prefill_s = call.shared_tokens / prefill_tokens_per_s
        engine = self.get_engine_spec(target.service)
        if store is None or engine is None:
            return prefill_s
        size = call.shared_tokens * engine.bytes_per_token
        transfer_s = size / store.link_bytes_per_s
        if target.data_centre != store.data_centre:
            transfer_s *= REMOTE_TRANSFER_FACTOR
        return min(prefill_s, store.first_byte_s + transfer_s)

    def make_candidate(
        self,
        target: TargetRecord,
        call: PlaceCall,
        store: StoreSpec | None,
        running: float,
        pending_prefill_tokens: int,
        prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S,
    ) -> TargetCandidate:
        """Return a target as a candidate for the placement policy.

        Args:
            target: The target.
            call: The request.
            store: The store of its session.
            running: Estimated number of requests that it runs.
            pending_prefill_tokens: Prompt tokens whose prefill has not ended.
            prefill_tokens_per_s: Prefill rate of a target.
        """
        stats = self.statistics.get(target.target_id)
        version = self.find_weight_version(target, stats, call.model)
        desired_version = self.fleet_view.weight_versions.get(call.model, 0)
        return TargetCandidate(
            target.target_id,
            max(1, target.slots),
            running,
            pending_prefill_tokens,
            stats.service_s,
            stats.failure_rate,
            stats.backoff_until_s > self.get_time_s(),
            self.statistics.is_possibly_unreachable(target),
            version is not None and version < desired_version,
            target.data_centre != call.data_centre,
            # The rate of the others is limited instead.
            0.0 if self.cold.find_limited_service(target.service) else target.cold_s,
            self.estimate_transfer_s(target, call, store, prefill_tokens_per_s),
        )
