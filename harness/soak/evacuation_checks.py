"""Checks that requests avoid the targets of evacuated data centres."""

from __future__ import annotations

from ..history import Verdict
from .soak_history import SoakHistory

EVACUATE_S = 5.0
"""Time from the acknowledgement of an order until no request goes to the targets."""

SKEW_S = 5.0
"""Further time for a node whose leader's majority was under a fault."""


def check_evacuations(history: SoakHistory) -> Verdict:
    """Check that no request reached an evacuated target through a node in contact."""
    verdict = Verdict("evacuated_targets_get_no_work")
    hosts = {record.attempt: record.host for record in history.records}
    changes = history.operator.evacuation_changes
    for arrival in history.journal.arrivals:
        if arrival.data_centre not in {change.data_centre for change in changes}:
            continue
        host = hosts.get(arrival.attempt, "")
        if not history.is_fault_free(host, arrival.at_s - SKEW_S, arrival.at_s):
            continue
        in_force = [
            change
            for change in changes
            if change.data_centre == arrival.data_centre
            and change.acknowledged_s + EVACUATE_S < arrival.at_s < change.withdrawn_s
        ]
        verdict.expect(
            not in_force,
            f"{arrival.attempt} by {host} at {arrival.target_id}",
        )
    return verdict
