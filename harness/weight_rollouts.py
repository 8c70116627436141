"""Rolls one weight version after the other out while a schedule of faults runs."""

from __future__ import annotations

import asyncio

from laburnumpitch.control.document import split_sections

from .cluster import Cluster
from .deployment import ROOT_KEY, make_document
from .operator import Operator, OperatorError

ROLLOUT_INTERVAL_S = 6.0


class WeightRollouts:
    """Changes the weight version of a cluster's model again and again.

    Args:
        cluster: The cluster to change.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.versions = ["v1"]
        """Versions that answers may be of, in the order of their rollouts."""
        self.stop_requested = asyncio.Event()
        entries = [cluster.http_addresses[name] for name in cluster.entries]
        self.operator = Operator(entries, ROOT_KEY)

    async def run(self) -> None:
        """Roll out until told to stop."""
        while not self.stop_requested.is_set():
            try:
                await asyncio.wait_for(self.stop_requested.wait(), ROLLOUT_INTERVAL_S)
            except asyncio.TimeoutError:
                await self.roll_out(f"v{len(self.versions) + 1}")

    async def roll_out(self, version: str) -> None:
        """Put another weight version into the document."""
        # Once it is sent it may be in force, whatever becomes of the answer.
        self.versions.append(version)
        document = make_document(self.cluster.deployment, version)
        model = f"models.{self.cluster.deployment.model}"
        try:
            await self.operator.apply_with_retries(split_sections(document)[model])
        except (TimeoutError, OperatorError):
            pass
