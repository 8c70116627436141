"""Keeps the targets' builds on record in the replicated log, on the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..errors import LaburnumpitchError
from ..logging import get_logger
from ..policy.build_history import MIN_TERM_AGE_S, BuildHistory, Builds
from .fleet_publisher import FleetPublisher
from .messages import StoreBuilds
from .replica_manager import ReplicaManager

CHECK_INTERVAL_S = 0.1
"""Interval of checks for builds that are not on record."""


class BuildRegistry:
    """Records builds before any stream may begin on them.

    Args:
        replica_manager: Manages this node's replica.
        list_services: Returns the names of the configured services with targets.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        replica_manager: ReplicaManager,
        list_services: Callable[[], list[str]],
        get_time_s: Callable[[], float],
    ) -> None:
        self.replica_manager = replica_manager
        self.list_services = list_services
        self.get_time_s = get_time_s
        self.term = -1
        self.histories: dict[str, BuildHistory] = {}
        """The history of each service in this term."""
        self.recorded_sequences: dict[tuple[str, str], int] = {}
        """Sequence number of the facts in which a build was first on record."""
        self.log = get_logger()

    async def run(self) -> None:
        """Commit changes of the record while this node leads, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            publisher = self.replica_manager.publisher
            if publisher is None:
                continue
            try:
                await self.update(publisher)
            except LaburnumpitchError as error:
                # Followers and leaders without a majority: the next pass tries again.
                self.log.debug("builds_not_recorded", code=error.code)

    async def update(self, publisher: FleetPublisher) -> None:
        """Commit and publish what has changed.

        Raises:
            LaburnumpitchError: If this node does not lead, or cannot commit.
        """
        publisher.check_term()
        on_record = publisher.replica.state_machine.state.builds
        term_age_s = self.get_time_s() - publisher.started_s
        if not on_record and term_age_s < MIN_TERM_AGE_S:
            # Nodes whose software knows no builds may not have called yet.
            return
        if not publisher.may_record_builds():
            return
        if publisher.term != self.term:
            self.term = publisher.term
            self.histories.clear()
            self.recorded_sequences.clear()
        present: dict[str, set[str]] = {}
        for record in publisher.targets.get_records():
            present.setdefault(record.service, set()).add(record.build)
        for service in sorted({*self.list_services(), *on_record}):
            committed = on_record.get(service, {})
            history = self.histories.setdefault(service, BuildHistory())
            builds = history.update(
                committed,
                present.get(service, set()),
                self.list_known(publisher, service, committed),
                self.get_time_s(),
            )
            if builds != committed:
                await publisher.replica.propose(StoreBuilds(service, dict(builds)))
                self.log.info("builds_recorded", service=service, builds=builds)
                publisher.update_facts()

    def list_known(
        self, publisher: FleetPublisher, service: str, committed: Builds
    ) -> set[str]:
        """Return the committed builds that every reachable node has confirmed."""
        if self.get_time_s() - publisher.started_s < MIN_TERM_AGE_S:
            return set()
        sequence = publisher.update_facts()
        return {
            build
            for build in committed
            if publisher.subscriptions.has_confirmed(
                self.recorded_sequences.setdefault((service, build), sequence)
            )
        }
