"""What a node believes of targets, as the policy takes it."""

from __future__ import annotations

from collections.abc import Callable

from ..fleet.fleet_view import FleetView
from ..fleet.messages import PlaceCall, TargetRecord
from ..fleet.store_owner import REMOTE_TRANSFER_FACTOR
from ..policy.placement import READ_TOKENS_PER_S, Candidate
from .board import Seen, TargetBoard
from .configuration import EngineSize, StoreSize
from .store_choice import find_store

SHORT_S = 0.5
"""Expected time of generation up to which a request is short; an engine gets short
requests only for twice this time before its weights change."""

VERSION_SHARE = 0.9
"""Part of the time for older weights that is used; a request takes time to begin."""


class TargetView:
    """Targets of the fleet, as this node knows them.

    Args:
        follower: This node's view of the fleet.
        board: What this node has seen of each target.
        get_time_s: Monotonic time.
        version_s: Time after which no request begins on older weights.
    """

    def __init__(
        self,
        follower: FleetView,
        board: TargetBoard,
        get_time_s: Callable[[], float],
        version_s: float,
    ) -> None:
        self.follower = follower
        self.board = board
        self.get_time_s = get_time_s
        self.version_s = version_s
        self.by_service: dict[str, list[TargetRecord]] = {}

    def update(self) -> None:
        """Take changed targets."""
        self.by_service = {}
        records = self.follower.targets.get_records()
        for record in records:
            if not record.is_leaving:
                self.by_service.setdefault(record.service, []).append(record)
        self.board.retain({record.target_id for record in records})

    def get_targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that do not leave."""
        return self.by_service.get(service, [])

    def find(self, service: str, target_id: str) -> TargetRecord | None:
        """Return a target that does not leave."""
        for target in self.get_targets(service):
            if target.target_id == target_id:
                return target
        return None

    def get_engine(self, service: str) -> EngineSize | None:
        """Return the size of a service's engines."""
        configuration = self.follower.configuration
        if configuration is None or service not in configuration.services_by_name:
            return None
        return configuration.services_by_name[service].engine

    def is_usable(self, target: TargetRecord, call: PlaceCall) -> bool:
        """Whether a target takes a request at all, however full it is."""
        seen = self.board.get(target.target_id)
        if seen.is_replaced or target.is_loading:
            # An engine that changes its weights rejects whatever comes.
            return False
        if self.is_expired(target, seen, call.model):
            return False
        return not target.is_retiring or call.output_tokens * seen.token_s <= SHORT_S

    def is_expired(self, target: TargetRecord, seen: Seen, model: str) -> bool:
        """Whether a target's weights are older than may still begin a request."""
        named = self.follower.weight_versions.get(model)
        if named is None:
            return False
        version = self.find_version(target, seen, model)
        if version is None or version >= named:
            return False
        limit_s = self.version_s * VERSION_SHARE
        return self.follower.get_weight_version_age_s(model) > limit_s

    def find_version(self, target: TargetRecord, seen: Seen, model: str) -> int | None:
        """Return the weight version of a target, if it is known."""
        told = target.versions.get(model)
        answered = (seen.versions or {}).get(model)
        if answered is not None:
            return max(told or 0, answered[0])
        return told

    def find_store(self, call: PlaceCall) -> StoreSize | None:
        """Return the store of a request's session, if somebody keeps it."""
        store = find_store(self.follower.configuration, call.key)
        if store is None or store.address not in self.follower.assignments:
            return None
        return store

    def get_transfer_s(
        self, target: TargetRecord, call: PlaceCall, store: StoreSize | None
    ) -> float:
        """Return the time to bring a request's shared context to a target."""
        if not call.key:
            return 0.0
        read_s = call.shared_tokens / READ_TOKENS_PER_S
        engine = self.get_engine(target.service)
        if store is None or engine is None:
            return read_s
        size = call.shared_tokens * engine.token_bytes
        transfer_s = size / store.link_bytes_per_s
        if target.data_centre != store.data_centre:
            transfer_s *= REMOTE_TRANSFER_FACTOR
        return min(read_s, store.first_s + transfer_s)

    def describe(
        self,
        target: TargetRecord,
        call: PlaceCall,
        store: StoreSize | None,
        running: float,
        unread_tokens: int,
    ) -> Candidate:
        """Return a target as the policy sees it.

        Args:
            target: The target.
            call: The request.
            store: The store of its session.
            running: Requests that it is believed to have.
            unread_tokens: Prompt tokens that it is believed to have unread.
        """
        seen = self.board.get(target.target_id)
        version = self.find_version(target, seen, call.model)
        named = self.follower.weight_versions.get(call.model, 0)
        return Candidate(
            target.target_id,
            max(1, target.slots),
            running,
            unread_tokens,
            seen.service_s,
            seen.failure_rate,
            seen.suspect_until_s > self.get_time_s(),
            self.board.is_doubtful(target),
            version is not None and version < named,
            target.data_centre != call.data_centre,
            target.cold_s,
            self.get_transfer_s(target, call, store),
        )
