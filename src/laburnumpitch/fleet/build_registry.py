"""Keeps the targets' builds on record in the replicated log, on the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..errors import LaburnumpitchError
from ..logging import get_logger
from ..policy.build_history import (
    MIN_TERM_AGE_S,
    BuildHistory,
    Builds,
)
from .fleet_publisher import FleetPublisher
from .messages import StoreBuilds
from .replica_manager import ReplicaManager

CHECK_INTERVAL_S = 0.1
"""Interval of checks for builds that are not on record."""


@dataclass(frozen=True)
class Publication:
    """Facts that were published."""

    sequence: int
    time_s: float
    """Time by which they were published."""


class BuildRegistry:
    """Records builds before any stream may begin on them.

    Args:
        replica_manager: Manages this node's replica.
        list_services: Returns the names of the services whose streams may go on at
            another target.
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
        self.publications: dict[tuple[str, str], Publication] = {}
        """The first facts that had a build that begins no streams yet."""
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
            self.publications.clear()
        present: dict[str, set[str]] = {}
        for record in publisher.targets.get_records():
            present.setdefault(record.service, set()).add(record.build)
        services = self.list_services()
        known = self.list_known(publisher, on_record)
        for service in sorted({*services, *on_record}):
            committed = on_record.get(service, {})
            history = self.histories.setdefault(service, BuildHistory())
            builds = history.update(
                committed,
                present.get(service, set()) if service in services else set(),
                {build for name, build in known if name == service},
                self.get_time_s(),
            )
            if builds != committed:
                await publisher.replica.propose(StoreBuilds(service, dict(builds)))
                self.log.info("builds_recorded", service=service, builds=builds)
                # Nodes confirm these facts from now on.
                self.list_known(publisher, on_record)

    def list_known(
        self, publisher: FleetPublisher, on_record: Mapping[str, Builds]
    ) -> set[tuple[str, str]]:
        """Return the builds that every node knows of which relies on the record.

        A node that gets no answers cannot confirm the facts that have a build. It
        relies on older ones for `MAX_RECORD_AGE_S` only.
        """
        pending = {
            (service, build)
            for service, builds in on_record.items()
            for build, is_active in builds.items()
            if not is_active
        }
        for key in set(self.publications) - pending:
            del self.publications[key]
        now_s = self.get_time_s()
        sequence = publisher.update_facts()
        if not pending or now_s - publisher.started_s < MIN_TERM_AGE_S:
            return set()
        known = set()
        for key in pending:
            newest = Publication(sequence, now_s)
            published = self.publications.setdefault(key, newest)
            is_old = now_s - published.time_s >= MIN_TERM_AGE_S
            if is_old or publisher.subscriptions.has_confirmed(published.sequence):
                known.add(key)
        return known
