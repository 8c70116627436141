"""Deadlines of answers, and the target to which a silent one's request goes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..fleet.messages import TargetRecord
from ..policy.silent_target import RetryOutlook, can_run_elsewhere
from .request import AdmittedRequest
from .services import RelayServices

RECHECK_INTERVAL_S = 0.2
"""Interval of attempts to reserve another target while one is silent."""


@dataclass(frozen=True)
class ReservedTarget:
    """Another target that has capacity reserved for a request."""

    target: TargetRecord
    admitted: AdmittedRequest
    """Copy of the request that holds the reservation, besides the one in progress."""


class AnswerDeadlines:
    """Chooses when a request stops to wait for its target.

    A request that may run again leaves a target that is silent for some time, but only
    once another one has capacity reserved for it. Else it waits until its deadline.

    Args:
        services: Services that all runs share.
        deadline_s: Monotonic time by which the request must be answered.
        get_runs_left: Returns the number of further targets that may run the request.
        get_build: Returns the build that another target must have; empty for any.
    """

    def __init__(
        self,
        services: RelayServices,
        deadline_s: float,
        get_runs_left: Callable[[], int],
        get_build: Callable[[], str],
    ) -> None:
        self.services = services
        self.deadline_s = deadline_s
        self.get_runs_left = get_runs_left
        self.get_build = get_build
        self.reserved: ReservedTarget | None = None
        self.next_attempt_s = 0.0
        self.has_recorded_silence = False

    @property
    def remaining_s(self) -> float:
        """Time left until the request has to be answered."""
        return self.deadline_s - self.services.get_time_s()

    def start(
        self, target: TargetRecord, admitted: AdmittedRequest, excluded: set[str]
    ) -> None:
        """Start to wait for a target to which the request is sent.

        Args:
            target: The target.
            admitted: The request.
            excluded: Targets that failed or rejected it.
        """
        self.target = target
        self.admitted = admitted
        self.excluded = frozenset(excluded | {target.target_id})
        self.has_recorded_silence = False

    def choose_timeout_s(self, timeout_s: float) -> float:
        """Return a timeout, or all the time left if no other target may be tried."""
        remaining_s = max(0.0, self.remaining_s)
        return min(remaining_s, timeout_s) if self.get_runs_left() else remaining_s

    def choose_deadline_s(self, timeout_s: float) -> float:
        """Return the time by which a target must go on: `timeout_s` from now.

        If that is too late, or no other target may be tried, it is the request's
        deadline.
        """
        if self.choose_timeout_s(timeout_s) != timeout_s:
            return self.deadline_s
        return self.services.get_time_s() + timeout_s

    async def extend(self) -> float:
        """Return the deadline after one that the target has missed.

        It has passed if the request has to leave the target.
        """
        now_s = self.services.get_time_s()
        if self.find_reserved_target() is not None and self.can_run_elsewhere():
            return now_s
        # The reservation is of an earlier silence, and the fleet has changed since.
        self.release_reserved()
        if now_s >= self.next_attempt_s:
            self.next_attempt_s = now_s + RECHECK_INTERVAL_S
            if await self.try_reserve():
                return now_s
        if self.remaining_s > 0:
            self.record_silence()
        return min(self.deadline_s, self.services.get_time_s() + RECHECK_INTERVAL_S)

    async def try_reserve(self) -> bool:
        """Reserve capacity for the request at another target, if one has any."""
        dispatcher = self.services.dispatcher
        build = self.get_build()
        if not self.can_run_elsewhere() or dispatcher.has_queue_ahead(
            self.admitted, build
        ):
            return False
        # Placements belong to an object; the first one is in use until the request
        # leaves its target.
        admitted = replace(self.admitted)
        target = await dispatcher.try_acquire(admitted, self.excluded, build)
        if target is None:
            return False
        self.reserved = ReservedTarget(target, admitted)
        is_reachable = not self.services.statistics.is_possibly_unreachable(target)
        if is_reachable and self.can_run_elsewhere():
            return True
        self.release_reserved()
        return False

    def can_run_elsewhere(self) -> bool:
        """Whether another target may run the request, if it has capacity."""
        services, admitted = self.services, self.admitted
        catalog = services.dispatcher.catalog
        outlook = RetryOutlook(
            runs_left=self.get_runs_left(),
            has_budget=services.retry_limiter.has_budget(admitted.service),
            is_suspect=services.crash_reports.is_suspect(admitted),
            has_other_target=catalog.has_other_target(
                admitted.service,
                self.get_build(),
                self.excluded,
                catalog.region_rules.get_allowed_regions(admitted),
            ),
            remaining_s=self.remaining_s,
            objective_s=admitted.route.objective_s,
        )
        return can_run_elsewhere(outlook)

    def record_silence(self) -> None:
        """Record, once for each sending, that the target may be unreachable.

        Only the first of the requests that fall silent together extends the backoff.
        """
        if self.has_recorded_silence:
            return
        self.has_recorded_silence = True
        if not self.services.statistics.is_in_backoff(self.target):
            self.services.statistics.record_failure(self.target, True)
            self.services.report_unreachable(self.target)

    def find_reserved_target(self) -> TargetRecord | None:
        """Return the record in force of the reserved target.

        None if there is none, or if it may not run the request any more, for example
        because another build has begun the stream.
        """
        if self.reserved is None:
            return None
        dispatcher, admitted = self.services.dispatcher, self.reserved.admitted
        catalog = dispatcher.catalog
        target = catalog.find_target(
            admitted.service,
            self.reserved.target.target_id,
            self.get_build(),
            catalog.region_rules.get_allowed_regions(admitted),
        )
        if target is None or target.born_ms != self.reserved.target.born_ms:
            return None
        if self.services.statistics.is_possibly_unreachable(target):
            return None
        if not dispatcher.cold_sends.may_send(admitted, target):
            return None
        call = dispatcher.make_place_call(admitted, self.excluded, self.get_build())
        return target if catalog.is_eligible(target, call) else None

    def take_reserved(self) -> ReservedTarget | None:
        """Return the reserved target and leave it to the caller.

        It is released if it may not run the request any more. Whether the request may
        run again is not checked.
        """
        target = self.find_reserved_target()
        if target is None:
            self.release_reserved()
            return None
        admitted, self.reserved = self.reserved.admitted, None
        return ReservedTarget(target, admitted)

    def close(self) -> None:
        """Release a reservation, and refer no more to the run of the request.

        The run refers to its deadlines; as a cycle, both and the request's body would
        stay until a garbage collection.
        """
        self.release_reserved()
        self.get_runs_left = lambda: 0
        self.get_build = lambda: ""

    def release_reserved(self) -> None:
        """Release the reserved target, if there is one."""
        reserved, self.reserved = self.reserved, None
        if reserved is not None:
            self.services.dispatcher.release_unused(reserved.target, reserved.admitted)
