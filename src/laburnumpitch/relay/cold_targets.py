"""Targets that are cold after their start, as this node knows them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..fleet.fleet_view import FleetView
from ..fleet.messages import TargetRecord
from ..fleet.target_table import TargetEntry
from ..logging import get_logger
from ..metrics import Metrics
from ..policy.cold_admission import ColdBounds
from .cold_loads import ColdLoads
from .configuration import Service
from .target_statistics import RECENT_SUCCESS_S, TargetStatistics

DOUBT_S = 1.5
"""Time for which a target may be cold after a connection to it failed or broke: it may
have restarted, and its first announcement takes up to an interval (1.2 s) to arrive."""

LOGGED_EXTENSION_S = 0.5
"""Extension of a cold time that is logged; answers extend it by their delays."""

ANNOUNCED = "announced"
ANSWERED = "answered"
RESTARTED = "restarted"
RETURNED = "returned"
SILENT = "silent"
EVACUATION_ENDED = "evacuation_ended"
UNREACHABLE = "unreachable"
REPORTED = "reported"
"""Cause: another node knows it."""


@dataclass
class ColdState:
    """What is known of one target."""

    entry: TargetEntry
    """The target's entry in the fleet's state when it was looked at last."""
    announced_until_s: float = 0.0
    """End of the cold time by the newest announcement."""
    event_until_s: float = 0.0
    """End of the cold time by events and answers. Announcements do not shorten it, as
    they may have been made before the event."""
    doubt_until_s: float = 0.0
    """Until when the target may have restarted after a broken connection."""
    has_paused: bool = False
    """Whether the silent target did not answer this node for a moment."""
    is_news: bool = False
    """Whether a coordinator may not know that the target is cold."""
    cause: str = ""
    """Why the target is cold, as it was logged last."""
    logged_until_s: float = float("-inf")
    """End of the cold time that was logged last."""

    @property
    def record(self) -> TargetRecord:
        """The target's record."""
        return self.entry.record

    @property
    def until_s(self) -> float:
        """Until when the target is cold."""
        return max(self.announced_until_s, self.event_until_s, self.doubt_until_s)


class ColdTargets:
    """Cold targets of the services that limit the requests to them.

    Args:
        fleet_view: This node's copy of the fleet's state.
        statistics: This node's statistics of each target.
        get_time_s: Monotonic time.
        bounds: By how much the rate of a cold target may be exceeded.
        metrics: Records measurements.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        statistics: TargetStatistics,
        get_time_s: Callable[[], float],
        bounds: ColdBounds | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.fleet_view = fleet_view
        self.statistics = statistics
        self.get_time_s = get_time_s
        self.bounds = bounds or ColdBounds()
        self.loads = ColdLoads(get_time_s, metrics or Metrics())
        self.evacuated: frozenset[str] = frozenset()
        self.evacuation_ended_s: dict[str, float] = {}
        """When the last evacuation of each data centre ended."""
        self.states: dict[str, ColdState] = {}
        """What is known of the targets of services with a limit, by identifier."""
        self.cold_ids: set[str] = set()
        """Targets that were cold when they were looked at last."""
        self.has_started = False
        """Whether the targets are known that existed when this node started."""
        self.log = get_logger()

    def find_limited_service(self, service: str) -> Service | None:
        """Return a service that limits the requests to cold targets; else None."""
        configuration = self.fleet_view.configuration
        if configuration is None:
            return None
        return configuration.cold_limited_services.get(service)

    def list_limited_services(self) -> list[str]:
        """Return the services that limit the requests to cold targets."""
        configuration = self.fleet_view.configuration
        return list(configuration.cold_limited_services) if configuration else []

    def update(self) -> None:
        """Find the targets that have become cold by a change of the fleet's state."""
        evacuated = self.fleet_view.evacuated
        returned_data_centres = self.evacuated - evacuated
        self.evacuated = evacuated
        now_s = self.get_time_s()
        self.evacuation_ended_s |= dict.fromkeys(returned_data_centres, now_s)
        configuration = self.fleet_view.configuration
        if configuration is None or not configuration.cold_limited_services:
            self.states.clear()
            self.cold_ids.clear()
            return
        entries = self.fleet_view.targets.entries
        for target_id, entry in entries.items():
            state = self.states.get(target_id)
            if state is not None and state.entry is entry and not returned_data_centres:
                continue
            service = configuration.cold_limited_services.get(entry.record.service)
            if service is None:
                self.forget(target_id)
                continue
            state = self.apply_record(service, entry, state)
            if entry.record.data_centre in returned_data_centres:
                self.extend(state, service.cold_start_s, EVACUATION_ENDED)
        for target_id in set(self.states) - set(entries):
            self.forget(target_id)
        self.has_started = True

    def apply_record(
        self, service: Service, entry: TargetEntry, state: ColdState | None
    ) -> ColdState:
        """Compare a target's record with the former one, and return its state."""
        record = entry.record
        if state is None or state.record.born_ms != record.born_ms:
            is_new = state is not None or self.has_started
            self.forget(record.target_id)
            state = self.states[record.target_id] = ColdState(entry)
            self.set_announced(state, record.cold_s, ANNOUNCED)
            if is_new and not record.states_cold:
                self.extend(state, service.cold_start_s, RESTARTED)
            ended_s = self.evacuation_ended_s.get(record.data_centre)
            if ended_s is not None:
                # Its announcement may have been made before the end.
                end_s = ended_s + service.cold_start_s
                self.extend(state, end_s - self.get_time_s(), EVACUATION_ENDED)
        elif state.entry is not entry:
            previous, state.entry = state.record, entry
            has_returned = (
                (previous.is_silent and not record.is_silent)
                or (previous.is_gone and not record.is_gone)
                or record.returns > previous.returns
            )
            if record.sequence > previous.sequence:
                self.set_announced(state, record.cold_s, ANNOUNCED)
            if has_returned:
                self.extend(state, service.cold_start_s, RETURNED)
        if not record.is_silent:
            state.has_paused = False
        elif service.cold_start_s:
            self.mark(state, SILENT)
        return state

    def set_announced(self, state: ColdState, cold_s: float, cause: str) -> None:
        """Set the remaining time that a target's newest announcement states."""
        state.announced_until_s = self.get_time_s() + cold_s if cold_s else 0.0
        if cold_s:
            self.mark(state, cause)

    def extend(self, state: ColdState, cold_s: float, cause: str) -> None:
        """Count a target as cold for a time from now, or longer if it is so already."""
        if cold_s > 0:
            until_s = self.get_time_s() + cold_s
            state.event_until_s = max(state.event_until_s, until_s)
            self.mark(state, cause)

    def mark(self, state: ColdState, cause: str) -> None:
        """Count a target among the cold ones; log it, and each longer extension."""
        record = state.record
        if record.is_gone:
            return
        is_known = record.target_id in self.cold_ids
        self.cold_ids.add(record.target_id)
        if is_known and state.until_s < state.logged_until_s + LOGGED_EXTENSION_S:
            return
        state.cause, state.logged_until_s = cause, state.until_s
        self.log.info(
            "target_cold",
            target=record.target_id,
            service=record.service,
            cause=cause,
            until_s=round(max(0.0, state.until_s - self.get_time_s()), 2),
            born=record.born_ms,
            sequence=record.sequence,
        )

    def forget(self, target_id: str) -> None:
        """Forget what is known of a target or of its former incarnation."""
        self.states.pop(target_id, None)
        self.cold_ids.discard(target_id)

    def is_cold(self, target: TargetRecord) -> bool:
        """Whether a target is cold."""
        return self.get_cold_s(target) > 0

    def get_cold_s(self, target: TargetRecord) -> float:
        """Return the time for which a target is still cold, as is known now."""
        if target.target_id not in self.cold_ids:
            return 0.0
        now_s = self.get_time_s()
        state = self.states[target.target_id]
        remaining_s = max(0.0, state.until_s - now_s)
        if state.record.is_silent and not self.is_answering(state, now_s):
            service = self.find_limited_service(target.service)
            if service is not None and service.cold_start_s:
                # It may come back at any moment, before it announces itself.
                return max(remaining_s, DOUBT_S)
        if not remaining_s and not state.record.is_silent:
            self.cold_ids.discard(target.target_id)
            state.is_news = False
            self.loads.write(target.target_id)
            self.log.info(
                "target_warm",
                target=target.target_id,
                service=target.service,
                cause=state.cause,
            )
        return remaining_s

    def is_answering(self, state: ColdState, now_s: float) -> bool:
        """Whether a silent target has answered this node all the time.

        One that answers after a pause may have restarted.
        """
        last_success_s = self.statistics.get(state.record.target_id).last_success_s
        if now_s - last_success_s > RECENT_SUCCESS_S:
            state.has_paused = True
        return not state.has_paused

    def record_answer(self, target: TargetRecord, cold_s: float | None) -> None:
        """Record what a target's own answer states of its cold time."""
        state = self.states.get(target.target_id)
        if state is None:
            return
        if cold_s is None:
            # Most answers do not state it, whether the target is cold or not.
            return
        if not cold_s:
            state.doubt_until_s = 0.0
            return
        if not self.is_cold(target):
            state.is_news = True
        self.extend(state, cold_s, ANSWERED)

    def record_unreachable(self, target: TargetRecord) -> None:
        """Record that a connection to a target failed or broke."""
        service = self.find_limited_service(target.service)
        state = self.states.get(target.target_id)
        if state is None or service is None or not service.cold_start_s:
            return
        if not self.is_cold(target):
            state.is_news = True
        state.doubt_until_s = self.get_time_s() + DOUBT_S
        self.mark(state, UNREACHABLE)

    def record_unknown(self, target: TargetRecord) -> None:
        """Record that a coordinator did not know that a target is cold."""
        state = self.states.get(target.target_id)
        if state is not None:
            state.is_news = True

    def list_news(self, service: str) -> dict[str, float]:
        """Return the remaining time of targets that a coordinator may take for warm."""
        if not self.cold_ids or self.find_limited_service(service) is None:
            return {}
        found = {}
        for target_id in list(self.cold_ids):
            state = self.states[target_id]
            if state.is_news and state.record.service == service:
                cold_s = self.get_cold_s(state.record)
                if cold_s:
                    found[target_id] = cold_s
        return found

    def apply_news(self, service: str, cold: dict[str, float]) -> None:
        """Apply what another node knows of a service's cold targets."""
        for target_id, cold_s in cold.items():
            state = self.states.get(target_id)
            if state is not None and state.record.service == service:
                self.extend(state, cold_s, REPORTED)
