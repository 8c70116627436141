"""Grants that a coordinator gives for sends to cold targets."""

from __future__ import annotations

from collections.abc import Callable

from ..fleet.fleet_view import FleetView
from ..fleet.messages import TargetRecord
from ..policy.cold_admission import GrantAllowance, may_grant
from .cold_targets import ColdTargets


class ColdGrants:
    """The allowances of the cold targets of the services that this node coordinates.

    Args:
        cold: The cold targets.
        get_time_s: Monotonic time.
    """

    def __init__(self, cold: ColdTargets, get_time_s: Callable[[], float]) -> None:
        self.cold = cold
        self.get_time_s = get_time_s
        self.allowances: dict[str, GrantAllowance] = {}
        """Allowances by target; each begins empty."""
        self.assigned_s: dict[str, float] = {}
        """When this node learned that a service is assigned to it, on the clock of the
        fleet view."""

    @property
    def fleet_view(self) -> FleetView:
        """This node's copy of the fleet's state."""
        return self.cold.fleet_view

    def record_assignment(self, service: str, is_assigned: bool) -> None:
        """Record whether a service is assigned to this node."""
        if not is_assigned:
            self.assigned_s.pop(service, None)
        elif service not in self.assigned_s:
            self.assigned_s[service] = self.fleet_view.get_time_s()

    def has_right(self, service: str) -> bool:
        """Whether this node may grant sends to cold targets of a service."""
        assigned_s = self.assigned_s.get(service)
        if assigned_s is None:
            return False
        # Another node may have been the coordinator while the contact was lost.
        now_s, view = self.fleet_view.get_time_s(), self.fleet_view
        return may_grant(
            view.get_contact_age_s(), now_s - view.contact_since_s, now_s - assigned_s
        )

    def may_place(self, target: TargetRecord) -> bool:
        """Whether a target is warm, or a send to it may be granted."""
        if not self.cold.is_cold(target):
            self.allowances.pop(target.target_id, None)
            return True
        if not self.has_right(target.service):
            # The allowance begins to fill only when this node may grant.
            self.allowances.pop(target.target_id, None)
            return False
        allowance = self.get_allowance(target)
        return allowance is not None and allowance.has_grant(self.get_time_s())

    def get_allowance(self, target: TargetRecord) -> GrantAllowance | None:
        """Return the allowance of a cold target, created on first use."""
        service = self.cold.find_limited_service(target.service)
        if service is None:
            return None
        fill_per_s = self.cold.bounds.get_fill_per_s(service.cold_rate_per_s)
        allowance = self.allowances.get(target.target_id)
        if allowance is None or allowance.fill_per_s != fill_per_s:
            allowance = GrantAllowance(fill_per_s, self.get_time_s())
            self.allowances[target.target_id] = allowance
        return allowance

    def take(self, target: TargetRecord) -> bool:
        """Take a grant if a target is cold; return whether it is.

        Must follow `may_place` without a pause.
        """
        allowance = self.allowances.get(target.target_id)
        if allowance is None or not self.cold.is_cold(target):
            return False
        allowance.take()
        self.cold.loads.record_granted(target.target_id)
        return True

    def retain(self, target_ids: set[str]) -> None:
        """Drop the allowances of targets that no longer exist."""
        for target_id in set(self.allowances) - target_ids:
            del self.allowances[target_id]
