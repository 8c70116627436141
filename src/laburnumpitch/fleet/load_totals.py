"""Totals of the nodes' load at each target."""

from __future__ import annotations

from collections.abc import Mapping

from .messages import FleetLoad

NO_LOAD = FleetLoad(0, 0)


class LoadTotals:
    """Last load report of each node, and the totals over all nodes by target."""

    def __init__(self) -> None:
        self.reports_by_host: dict[str, Mapping[str, FleetLoad]] = {}
        self.totals: dict[str, FleetLoad] = {}

    def replace_report(self, host: str, loads: Mapping[str, FleetLoad]) -> None:
        """Replace a node's report."""
        self.add(self.reports_by_host.get(host, {}), -1)
        self.add(loads, 1)
        self.reports_by_host[host] = loads

    def remove_report(self, host: str) -> None:
        """Remove a node's report."""
        self.add(self.reports_by_host.pop(host, {}), -1)

    def add(self, loads: Mapping[str, FleetLoad], sign: int) -> None:
        """Add a report to the totals, or subtract it with a sign of -1."""
        for target_id, load in loads.items():
            total = self.totals.get(target_id, NO_LOAD)
            running = total.running + sign * load.running
            if running > 0:
                tokens = total.tokens + sign * load.tokens
                self.totals[target_id] = FleetLoad(running, tokens)
            else:
                self.totals.pop(target_id, None)

    def get_totals_of_others(self, host: str) -> dict[str, FleetLoad]:
        """Return the totals over all nodes except one, by target."""
        own_loads = self.reports_by_host.get(host, {})
        other_totals = {}
        for target_id, total in self.totals.items():
            load = own_loads.get(target_id, NO_LOAD)
            if total.running > load.running:
                other_totals[target_id] = FleetLoad(
                    total.running - load.running, max(0, total.tokens - load.tokens)
                )
        return other_totals
