"""Logs and counts which data centres are evacuated, as this node knows it."""

from __future__ import annotations

from ..fleet.fleet_view import FleetView
from ..logging import get_logger
from ..metrics import Metrics
from ..policy.evacuation import find_usable


class EvacuationWatch:
    """Reports each change of the evacuations that this node obeys.

    Args:
        fleet_view: This node's copy of the fleet's state.
        metrics: Records measurements.
    """

    def __init__(self, fleet_view: FleetView, metrics: Metrics) -> None:
        self.fleet_view = fleet_view
        self.metrics = metrics
        self.evacuated: frozenset[str] = frozenset()
        """Evacuations that were reported last."""
        self.log = get_logger()
        metrics.set_gauge("evacuation.active", 0)
        fleet_view.on_change.append(self.update)

    def update(self) -> None:
        """Report what has changed since the last call."""
        view = self.fleet_view
        if view.evacuated == self.evacuated:
            return
        records = view.targets.get_records()
        left = find_usable([record.data_centre for record in records], view.evacuated)
        for data_centre in sorted(view.evacuated ^ self.evacuated):
            fields = {
                "data_centre": data_centre,
                "revision": view.evacuation_revisions.get(data_centre, 0),
                "targets": sum(r.data_centre == data_centre for r in records),
                "targets_left": len(left),
                "contact_age_s": round(view.get_contact_age_s(), 2),
            }
            if data_centre in view.evacuated:
                self.log.info("evacuation_in_force", **fields)
            else:
                self.log.info("evacuation_ended", **fields)
        self.evacuated = view.evacuated
        self.metrics.set_gauge("evacuation.active", len(view.evacuated))
