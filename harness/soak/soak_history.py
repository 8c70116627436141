"""What was recorded during a soak."""

from __future__ import annotations

from dataclasses import dataclass, field

from standins.platform_target import Journal

from .operator import ENGINE_SERVICE, SoakOperator
from .request_record import RequestRecord

FAULT_RECOVERY_S = 3.0
"""Time after a fault in which a node is exempt from the checks of delays."""


@dataclass
class SoakHistory:
    """What clients, targets and the operator recorded during a run."""

    records: list[RequestRecord]
    journal: Journal
    operator: SoakOperator
    node_fault_times_s: dict[str, list[float]]
    """Times at which a fault began or ended, by node."""
    planned_stop_times_s: dict[str, list[float]]
    """Times of planned stops, by node."""
    unplanned_fault_times_s: list[float]
    """Times at which an unplanned fault began or ended, anywhere."""
    recovery_deadline_s: float
    """Time by which the fleet must have recovered from the last fault."""
    peak_memory_bytes: dict[str, int] = field(default_factory=dict)
    """Largest resident memory of a process, by node."""

    def is_fault_free(self, host: str, start_s: float, end_s: float) -> bool:
        """Whether no fault began or ended at a node in a span, or shortly before it.

        A node that was suspended answers what waited for it when it is resumed, so the
        fault ends within the span of such a request.
        """
        times = self.node_fault_times_s.get(host, ())
        return not any(start_s - FAULT_RECOVERY_S <= t <= end_s for t in times)

    def is_evacuated(self, data_centre: str, start_s: float, end_s: float) -> bool:
        """Whether an evacuation may have been in force in some part of a span."""
        return any(
            change.data_centre == data_centre
            and change.sent_s <= end_s
            and start_s <= change.ended_s + FAULT_RECOVERY_S
            for change in self.operator.evacuation_changes
        )

    def has_target(self, build: str, start_s: float, end_s: float) -> bool:
        """Whether one engine of a build served through a span.

        It was not leaving, and its data centre was not evacuated.
        """
        return any(
            period.service == ENGINE_SERVICE
            and period.build == build
            and period.started_s <= start_s
            and end_s < period.ended_s
            and not self.is_evacuated(period.data_centre, start_s, end_s)
            for period in self.journal.serving_periods
        )
