"""Rights of this node's requests to be sent to cold targets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..clock_sources import get_boottime_s
from ..errors import ColdTargetError
from ..fleet.messages import PlaceAnswer, TargetRecord
from ..logging import get_logger
from ..policy.cold_admission import (
    GRANT_WINDOW_S,
    LocalAllowance,
    choose_local_senders,
    is_expired,
)
from .cold_targets import ColdTargets
from .request import AdmittedRequest

BeforeWrite = Callable[[], None]
"""A check right before the first byte of a request is written; raises to stop it."""


@dataclass(frozen=True)
class ColdPermit:
    """The right to send one request to one target."""

    target_id: str
    asked_s: float
    """Before the grant was asked for, on the clock of `ColdSends`."""
    is_local: bool
    """Whether it is of the node's own share, without a grant."""


class ColdSends:
    """Permits of the requests that go to cold targets.

    Args:
        cold: The cold targets.
        get_clock_s: Monotonic time that goes on while the machine is suspended.
    """

    def __init__(
        self, cold: ColdTargets, get_clock_s: Callable[[], float] = get_boottime_s
    ) -> None:
        self.cold = cold
        self.get_clock_s = get_clock_s
        self.permits: dict[int, ColdPermit] = {}
        """Permits by `id` of the request that holds them."""
        self.hosts: list[str] = []
        """Hosts of the fleet from which `is_sender` follows."""
        self.is_sender: dict[str, bool] = {}
        """Whether this node may send to targets without a grant, by target."""
        self.local: dict[str, LocalAllowance] = {}
        """This node's own allowance of targets to which it may send without a grant."""
        self.log = get_logger()

    def take_grant(
        self,
        admitted: AdmittedRequest,
        target: TargetRecord,
        answer: PlaceAnswer,
        asked_s: float,
    ) -> bool:
        """Keep a coordinator's grant.

        Args:
            admitted: The request.
            target: The target of its placement.
            answer: The coordinator's answer.
            asked_s: When it was asked, on the clock of this object.

        Returns:
            Whether the request may go to the target: it is warm, or a send is granted.
        """
        if answer.is_cold_grant:
            permit = ColdPermit(target.target_id, asked_s, is_local=False)
            self.permits[id(admitted)] = permit
            return True
        if not self.cold.is_cold(target):
            return True
        # This node has newer data on the target than the coordinator.
        self.cold.record_unknown(target)
        return False

    def may_send_locally(self, target: TargetRecord) -> bool:
        """Whether this node may send to a target without a coordinator."""
        return not self.cold.is_cold(target) or self.has_local_share(target)

    def has_local_share(self, target: TargetRecord) -> bool:
        """Whether this node has a share of a cold target's limit left."""
        service = self.cold.find_limited_service(target.service)
        if service is None:
            return False
        share = self.cold.bounds.get_local_share(service.cold_rate_per_s)
        if not share or not self.is_local_sender(target.target_id):
            return False
        allowance = self.local.setdefault(target.target_id, LocalAllowance())
        return allowance.may_send(share, self.get_clock_s())

    def is_local_sender(self, target_id: str) -> bool:
        """Whether this node may send to a cold target without a grant."""
        view = self.cold.fleet_view
        if self.hosts is not view.hosts:
            self.hosts = view.hosts
            self.is_sender.clear()
        if target_id not in self.is_sender:
            senders = choose_local_senders(target_id, view.hosts)
            self.is_sender[target_id] = view.node.host in senders
        return self.is_sender[target_id]

    def take_local(self, admitted: AdmittedRequest, target: TargetRecord) -> None:
        """Count a request in this node's own share if its target is cold."""
        if not self.cold.is_cold(target):
            return
        self.drop_unused()
        now_s = self.get_clock_s()
        self.local.setdefault(target.target_id, LocalAllowance()).record(now_s)
        permit = ColdPermit(target.target_id, now_s, is_local=True)
        self.permits[id(admitted)] = permit

    def drop(self, admitted: AdmittedRequest) -> None:
        """Drop the permit of a request that leaves its target."""
        self.permits.pop(id(admitted), None)

    def may_send(self, admitted: AdmittedRequest, target: TargetRecord) -> bool:
        """Whether a request may be sent to a target now."""
        permit = self.permits.get(id(admitted))
        if permit is not None and permit.target_id == target.target_id:
            return not is_expired(permit.asked_s, self.get_clock_s())
        return not self.cold.is_cold(target)

    def add_check(
        self,
        admitted: AdmittedRequest,
        target: TargetRecord,
        before_write: BeforeWrite | None,
    ) -> BeforeWrite | None:
        """Return a check to make right before a request is written.

        Args:
            admitted: The request.
            target: The target.
            before_write: Another check, which is made first; None without one.
        """
        if self.cold.find_limited_service(target.service) is None:
            return before_write

        def check() -> None:
            if before_write is not None:
                before_write()
            self.check(admitted, target)

        return check

    def check(self, admitted: AdmittedRequest, target: TargetRecord) -> None:
        """Check that a request may be sent now, and use its permit.

        Raises:
            ColdTargetError: If its target is cold and it has no valid permit.
        """
        permit = self.permits.get(id(admitted))
        if not self.may_send(admitted, target):
            self.cold.loads.record_expired(target.target_id)
            age_s = self.get_clock_s() - permit.asked_s if permit else None
            self.log.info(
                "cold_send_stopped",
                request=admitted.metadata.request_id,
                target=target.target_id,
                service=target.service,
                grant_age_s=round(age_s, 2) if age_s is not None else None,
                cold_s=round(self.cold.get_cold_s(target), 2),
            )
            raise ColdTargetError("the target is cold, without a valid grant")
        if permit is not None:
            self.drop(admitted)
            self.cold.loads.record_sent(target.target_id, permit.is_local)

    def drop_unused(self) -> None:
        """Drop the allowances of targets that have not been used for a window."""
        oldest_s = self.get_clock_s() - GRANT_WINDOW_S
        for target_id, allowance in list(self.local.items()):
            if not allowance.times_s or allowance.times_s[-1] < oldest_s:
                del self.local[target_id]
